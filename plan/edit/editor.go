// Package edit changes the operators' lists in the store: it writes the pages of the
// new lists, then replaces the head by compare-and-swap, and says for certain
// whether the edit was accepted wherever that can be known.
package edit

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/nutmegtrack/nutmegtrack/plan"
	"github.com/nutmegtrack/nutmegtrack/store"
)

// Config says who edits and how. Store and Author are required.
type Config struct {
	Store      store.Store
	Author     string
	Files      plan.Files       // names of the documents in findings
	Capacities plan.Capacities  // nil: limits are not compared with capacities
	Now        func() time.Time // default time.Now
	NewID      func() string    // random part of an edit's ID; default 16 hexadecimal digits

	// Attempts bounds how often an unknown outcome is read back or tried again.
	Attempts int
	// Wait is called between attempts; default a pause of retryPause.
	Wait func(context.Context)
}

const (
	defaultAttempts = 5
	retryPause      = 500 * time.Millisecond
	randomIDBytes   = 8
)

// Editor makes edits. It is not safe for concurrent use.
type Editor struct {
	cfg Config
}

// New returns an editor.
func New(cfg Config) *Editor {
	if cfg.Files == (plan.Files{}) {
		cfg.Files = plan.DefaultFiles
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.NewID == nil {
		cfg.NewID = randomID
	}
	if cfg.Attempts == 0 {
		cfg.Attempts = defaultAttempts
	}
	if cfg.Wait == nil {
		cfg.Wait = pause
	}
	return &Editor{cfg: cfg}
}

func randomID() string {
	var b [randomIDBytes]byte
	rand.Read(b[:]) // never fails
	return hex.EncodeToString(b[:])
}

func pause(ctx context.Context) {
	select {
	case <-time.After(retryPause):
	case <-ctx.Done():
	}
}

// editID joins the revision that an edit was made from and a random part. The
// revision lets a later reader of the history tell an edit that was refused from one
// whose write may still arrive.
func editID(base int64, random string) string { return fmt.Sprintf("%d-%s", base, random) }

// ErrBadID says that a text is not the ID of an edit.
var ErrBadID = errors.New("not an edit ID such as 12-9f86d081884c7d65")

// BaseOf returns the revision that the edit was made from.
func BaseOf(id string) (int64, error) {
	base, random, found := strings.Cut(id, "-")
	revision, err := strconv.ParseInt(base, 10, 64)
	if !found || random == "" || err != nil || revision < 0 {
		return 0, errors.Wrapf(ErrBadID, "%q", id)
	}
	return revision, nil
}
