package main

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/cockroachdb/errors"
)

// runUntilSignal runs a stand-in until SIGTERM or SIGINT.
func runUntilSignal(name string, run func(context.Context) error) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := run(ctx); err != nil && ctx.Err() == nil {
		fmt.Fprintf(os.Stderr, "nutmegtrack: standin %s: %v\n", name, err)
		return exitFailure
	}
	return exitOK
}

// rejectArgument reports an invalid argument of a stand-in.
func rejectArgument(name string, err error) int {
	fmt.Fprintf(os.Stderr, "nutmegtrack: standin %s: %v\n", name, err)
	return exitUsage
}

// parseAddrPorts parses the addresses. Its error lists those that are invalid.
func parseAddrPorts(list []string) ([]netip.AddrPort, error) {
	var parsed []netip.AddrPort
	var wrong []string
	for _, s := range list {
		a, err := netip.ParseAddrPort(s)
		if err != nil {
			wrong = append(wrong, s)
			continue
		}
		parsed = append(parsed, a)
	}
	if len(wrong) > 0 {
		return nil, errors.Newf("not an IP:PORT address: %q", strings.Join(wrong, ", "))
	}
	return parsed, nil
}
