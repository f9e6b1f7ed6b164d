package soak

import (
	"io"
	"math/rand/v2"
	"os/exec"
	"sync/atomic"
	"syscall"

	"github.com/cockroachdb/errors"
)

// RandomBusy as Config.Busy lets the seed decide how many busy processes run beside the daemons.
const RandomBusy = -1

// Of the runs with RandomBusy one in busyShare is beside busy processes, 2 or 3 for each
// processor, so that a daemon waits for its turn as on an overcommitted VM.
const (
	busyShare      = 3
	minBusyPerCore = 2
	maxBusyPerCore = 3
)

// randomBusy returns the number of busy processes of a run with RandomBusy.
func randomBusy(seed uint64, cores int) int {
	rng := rand.New(rand.NewPCG(seed, 4))
	if rng.IntN(busyShare) > 0 {
		return 0
	}
	return cores * (minBusyPerCore + rng.IntN(maxBusyPerCore-minBusyPerCore+1))
}

// Spin computes until the input ends.
func Spin(input io.Reader) error {
	var ended atomic.Bool
	var err error
	go func() {
		_, err = io.Copy(io.Discard, input)
		ended.Store(true)
	}()
	for !ended.Load() {
		continue
	}
	return err
}

// busyProcess is a process that runs Spin.
type busyProcess struct {
	cmd   *exec.Cmd
	input io.Closer // ends with this process, so that none is left behind
}

// startBusy starts busy processes, and returns a function that ends them.
func startBusy(program string, n int) (stop func(), err error) {
	var list []busyProcess
	stop = func() {
		for _, p := range list {
			_ = p.input.Close()
			_ = p.cmd.Process.Kill() // it may have ended already
			_ = p.cmd.Wait()         // the exit status of a killed process says nothing
		}
	}
	for range n {
		cmd := exec.Command(program, "busy")
		cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
		input, err := cmd.StdinPipe()
		if err == nil {
			err = cmd.Start()
		}
		if err != nil {
			stop()
			return nil, errors.Wrap(err, "soak: start a busy process")
		}
		list = append(list, busyProcess{cmd, input})
	}
	return stop, nil
}
