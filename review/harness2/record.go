package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// record collects what a case has sent, answered and run, with the time since its start, and the broken rules.
type record struct {
	mu     sync.Mutex
	begun  time.Time
	file   *os.File
	broken []string
}

func newRecord(dir string) (*record, error) {
	file, err := os.Create(filepath.Join(dir, "record.txt"))
	return &record{begun: time.Now(), file: file}, err
}

func (r *record) write(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.begun).Seconds(), fmt.Sprintf(format, args...))
}

// breaks records a broken rule.
func (r *record) breaks(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.write("BROKEN %s", text)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = append(r.broken, text)
}

// finish writes the result and returns the exit status of the case.
func (r *record) finish() int {
	r.mu.Lock()
	n := len(r.broken)
	r.mu.Unlock()
	r.write("result: %d violations", n)
	_ = r.file.Close()
	if n > 0 {
		fmt.Println("the rule was broken:", r.broken[0])
		return 1
	}
	fmt.Println("the rule held")
	return 0
}
