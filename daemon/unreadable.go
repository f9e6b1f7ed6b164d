package daemon

import (
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/nutmegtrack/nutmegtrack/event"
	"github.com/nutmegtrack/nutmegtrack/store"
)

const (
	// maxUnreadable bounds the keys whose unreadable value is remembered. It is about twice the
	// 4,300 addresses at the target scale, whose services have one key each at most.
	maxUnreadable = 8192
	// maxErrorBytes limits the text of an error, which may quote the value.
	maxErrorBytes = 300
)

// UnreadableLog logs each content of a key that could not be decoded once, however often it is
// read. It is safe for concurrent use.
type UnreadableLog struct {
	log    *event.Logger
	mu     sync.Mutex
	hashes map[string]uint64 // hash of the logged value, by key
}

// NewUnreadableLog returns an UnreadableLog without logged entries.
func NewUnreadableLog(log *event.Logger) *UnreadableLog {
	return &UnreadableLog{log: log, hashes: make(map[string]uint64)}
}

// Log logs that the value of a key could not be decoded, unless err is nil or the value has
// been logged before. Beyond maxUnreadable keys, the logged values are forgotten.
func (u *UnreadableLog) Log(kv store.KV, err error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if err == nil {
		delete(u.hashes, kv.Key)
		return
	}
	hash := xxhash.Sum64(kv.Value)
	if logged, known := u.hashes[kv.Key]; known && logged == hash {
		return
	}
	if len(u.hashes) >= maxUnreadable {
		clear(u.hashes)
	}
	u.hashes[kv.Key] = hash
	text := err.Error()
	if len(text) > maxErrorBytes {
		text = strings.ToValidUTF8(text[:maxErrorBytes], "") + "..."
	}
	u.log.Log(event.EntryUnreadable, "key", kv.Key, "revision", kv.ModRevision, "error", text)
}
