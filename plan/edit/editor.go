// Package edit changes the operators' lists in the store. It writes the pages of the new
// lists, then replaces the head by compare-and-swap, and determines whether the edit was
// accepted wherever that is possible.
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

// Config configures an Editor. Store and Author are required.
type Config struct {
	Store      store.Store
	Author     string
	Files      plan.Files       // file names of the documents for findings
	Capacities plan.Capacities  // nil: limits are not checked against capacities
	Now        func() time.Time // default time.Now
	NewID      func() string    // random part of an edit's ID; default 16 hexadecimal digits

	// Attempts is the maximum number of attempts of each store operation whose outcome
	// is unknown, and of reading the head afterwards; default 5.
	Attempts int
	// Wait is called between attempts; by default it pauses for 500 ms.
	Wait func(context.Context)
}

const (
	defaultAttempts = 5
	retryPause      = 500 * time.Millisecond
	randomIDBytes   = 8
)

// Editor applies edits. It is not safe for concurrent use.
type Editor struct {
	cfg Config
}

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

// editID returns an edit ID, which consists of the base revision and a random part. The
// base is needed to distinguish an edit that was refused from one whose write may still
// arrive.
func editID(base int64, random string) string { return fmt.Sprintf("%d-%s", base, random) }

// ErrBadID is returned for a text that is not an edit ID.
var ErrBadID = errors.New("not an edit ID such as 12-9f86d081884c7d65")

// BaseOf returns the base revision of the edit with the ID.
func BaseOf(id string) (int64, error) {
	base, random, found := strings.Cut(id, "-")
	revision, err := strconv.ParseInt(base, 10, 64)
	if !found || random == "" || err != nil || revision < 0 {
		return 0, errors.Wrapf(ErrBadID, "%q", id)
	}
	return revision, nil
}
