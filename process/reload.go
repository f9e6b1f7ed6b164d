package process

import (
	"os"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/nutmegtrack/nutmegtrack/event"
)

// checkInterval is the interval at which the settings file is checked for a change that
// was made without a signal.
const checkInterval = 2 * time.Second

// Reloader is a daemon that can apply changed settings while it runs.
type Reloader interface {
	// Reload reads the settings file and applies the fields that can change while the
	// daemon runs. It returns the changed fields and the subset of them that takes effect
	// only at the next start. On an error, which is a finding.List, the settings stay
	// unchanged.
	Reload(file string) (changed, waiting []string, err error)
}

// follower reloads the settings of a daemon when the settings file has changed.
type follower struct {
	file string
	log  *event.Logger
	last uint64 // hash of the content at the last check; 0 if it could not be read
}

func newFollower(file string, log *event.Logger) *follower {
	f := &follower{file: file, log: log}
	f.last, _ = f.hash()
	return f
}

func (f *follower) hash() (uint64, error) {
	text, err := os.ReadFile(f.file)
	if err != nil {
		return 0, err
	}
	return xxhash.Sum64(text), nil
}

// check reloads the settings if the file has changed, or unconditionally after a signal.
// If the file cannot be read or is invalid, the old settings stay in force.
func (f *follower) check(d Daemon, signalled bool) {
	r, can := d.(Reloader)
	if !can || f.file == "" {
		return
	}
	hash, err := f.hash()
	if !signalled && (err != nil || hash == f.last) {
		return
	}
	f.last = hash
	changed, waiting, err := r.Reload(f.file)
	if err != nil {
		ReportSettings(f.log, err)
		f.log.Log(event.ReloadFailed, "file", f.file)
		return
	}
	f.log.Log(event.Reloaded, "file", f.file, "signal", signalled, "changed", text(changed), "next_start", text(waiting))
}

func text(fields []string) string {
	if len(fields) == 0 {
		return "none"
	}
	out := ""
	for i, f := range slices.Sorted(slices.Values(fields)) {
		if i > 0 {
			out += ","
		}
		out += f
	}
	return out
}
