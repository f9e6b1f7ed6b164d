//go:build review

// Command harness runs one case of the review: it starts the project's daemons as processes on
// loopback addresses, with stand-ins for clients, servers and the platform.
package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// errNotRun says that a case couldn't run.
var errNotRun = errors.New("the case couldn't run")

// caseFunc runs a case. It returns the violations of the rule. trouble is the value of TROUBLE.
type caseFunc func(f *fleet, trouble string) (violations []string, err error)

var cases = map[string]caseFunc{
	"lost-readers":   lostReaders,
	"service-change": serviceChange,
	"port-reuse":     portReuse,
	"idle-flow":      idleFlow,
	"late-delete":    lateDelete,
	"young-server":   youngServer,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE ROOT RECORD")
		return 2
	}
	root, err := filepath.Abs(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	rec, err := newRecorder(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer rec.close()
	f, err := newFleet(rec, root)
	if err != nil {
		rec.say("%v", err)
		return 2
	}
	defer func() { f.end(os.Getenv("KEEP_LOGS")) }()
	go func() { // a case that hangs ends before the limit of 120 s
		time.Sleep(112 * time.Second)
		rec.say("the case takes too long")
		f.end("")
		rec.close()
		os.Exit(2)
	}()
	violations, err := cases[os.Args[1]](f, os.Getenv("TROUBLE"))
	if err != nil {
		rec.say("%v", err)
		return 2
	}
	for _, v := range violations {
		rec.say("VIOLATION: %s", v)
	}
	if len(violations) > 0 {
		return 1
	}
	rec.say("the rule held")
	return 0
}
