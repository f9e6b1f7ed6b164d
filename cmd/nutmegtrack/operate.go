package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/integrii/flaggy"

	"github.com/nutmegtrack/nutmegtrack/control"
	"github.com/nutmegtrack/nutmegtrack/daemon"
)

// newDump returns `dump ADDRESS`.
func newDump() command {
	return newOperation("dump", "prints the state of a process as JSON", dump)
}

// newDrain returns `drain ADDRESS`.
func newDrain() command {
	return newOperation("drain", "starts the graceful shutdown of a process", drain)
}

// newOperation returns a subcommand that calls one control address.
func newOperation(name, description string, run func(*control.Client, netip.AddrPort) error) command {
	sub := flaggy.NewSubcommand(name)
	sub.Description = description
	var address string
	sub.AddPositionalValue(&address, "ADDRESS", 1, true, "control address of the process, IP:PORT")
	return command{sub: sub, run: func() int {
		to, err := netip.ParseAddrPort(address)
		if err != nil {
			fmt.Fprintf(os.Stderr, "nutmegtrack: %s: %v\n", name, err)
			return exitUsage
		}
		client := newClient(operatorTimeout)
		defer client.Close()
		if err := run(client, to); err != nil {
			fmt.Fprintf(os.Stderr, "nutmegtrack: %s: %v\n", name, err)
			return exitFailure
		}
		return exitOK
	}}
}

// operatorTimeout is the timeout of operator calls. It allows for the dump of a balancer at the
// target scale: 53,000 member records are about 20 MB of JSON.
const operatorTimeout = 15 * time.Second

func newClient(timeout time.Duration) *control.Client {
	return control.NewClient(control.ClientConfig{Timeout: timeout}, control.NewCounts(nil))
}

func dump(client *control.Client, to netip.AddrPort) error {
	state, err := daemon.FetchDump(context.Background(), client, to)
	if err != nil {
		return err
	}
	var out bytes.Buffer
	if err := json.Indent(&out, state, "", "  "); err != nil {
		return errors.Wrap(err, "reply")
	}
	fmt.Println(out.String())
	return nil
}

func drain(client *control.Client, to netip.AddrPort) error {
	var reply daemon.DrainReply
	if err := client.Call(context.Background(), to, daemon.AdminDrain, &daemon.DrainArgs{}, &reply); err != nil {
		return err
	}
	fmt.Printf("%s is draining, %d open flows\n", to, reply.Left)
	return nil
}
