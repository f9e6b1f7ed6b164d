package main

import (
	"github.com/integrii/flaggy"

	"github.com/nutmegtrack/nutmegtrack/standin"
)

// newStandinFabric returns `standin fabric`.
func newStandinFabric() command {
	sub := flaggy.NewSubcommand("fabric")
	sub.Description = "forwards packets to healthy balancers and relays control connections"
	var listen, control string
	var seed uint64
	sub.String(&listen, "", "listen", "address for IP packets in UDP datagrams, IP:PORT")
	sub.String(&control, "", "control", "address of the HTTP endpoint, IP:PORT")
	sub.UInt64(&seed, "", "seed", "seed for the choice of balancers")
	return command{sub: sub, run: func() int {
		addrs, err := parseAddrPorts([]string{listen, control})
		if err != nil {
			return rejectArgument("fabric", err)
		}
		return runUntilSignal("fabric", standin.NewFabric(addrs[0], control, seed).Run)
	}}
}
