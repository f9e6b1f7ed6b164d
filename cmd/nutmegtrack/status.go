package main

import (
	"context"
	"fmt"
	"net/netip"
	"os"

	"github.com/integrii/flaggy"

	"github.com/nutmegtrack/nutmegtrack/daemon"
)

// maxBalancers is the maximum number of balancers that one status command can query. It is
// fixed because flaggy has no repeated positional values.
const maxBalancers = 16

// newStatus returns `status ADDRESS...`.
func newStatus() command {
	sub := flaggy.NewSubcommand("status")
	sub.Description = "lists the processes known to the given balancers, with their states and list revisions"
	addresses := make([]string, maxBalancers)
	for i := range addresses {
		name, required := "ADDRESS", i == 0
		if !required {
			name = fmt.Sprintf("ADDRESS%d", i+1)
		}
		sub.AddPositionalValue(&addresses[i], name, i+1, required, "control address of a balancer, IP:PORT")
	}
	return command{sub: sub, run: func() int { return status(addresses) }}
}

// status prints the state of the deployment and returns the exit status: exitFailure if a
// process lags or does not answer.
func status(addresses []string) int {
	var balancers []netip.AddrPort
	for _, text := range addresses {
		if text == "" {
			continue
		}
		address, err := netip.ParseAddrPort(text)
		if err != nil {
			fmt.Fprintln(os.Stderr, "nutmegtrack: status:", err)
			return exitUsage
		}
		balancers = append(balancers, address)
	}
	client := newClient(operatorTimeout)
	defer client.Close()
	status := daemon.FetchDeploymentStatus(context.Background(), client, balancers)
	if err := status.Write(os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "nutmegtrack: status:", err)
		return exitFailure
	}
	if status.LaggingOrUnanswered() > 0 {
		return exitFailure
	}
	return exitOK
}
