package main

import (
	"github.com/integrii/flaggy"

	"github.com/nutmegtrack/nutmegtrack/standin"
)

// newStandinUpstream returns `standin upstream`.
func newStandinUpstream() command {
	sub := flaggy.NewSubcommand("upstream")
	sub.Description = "responds to the requests of one service"
	var name, service, listen, replyTo, control, fault string
	var addresses []string
	var ledger int
	var seed uint64
	sub.String(&name, "", "name", "name of the VM")
	sub.String(&service, "", "service", "name of the service")
	sub.StringSlice(&addresses, "", "address", "address of the service, IP:PORT; may be repeated")
	sub.String(&listen, "", "listen", "address for IP packets from the agent, IP:PORT")
	sub.String(&replyTo, "", "reply-to", "the agent's address for replies, IP:PORT")
	sub.String(&control, "", "control", "address of the HTTP endpoint, IP:PORT")
	sub.Int(&ledger, "", "ledger", "maximum number of recorded requests (default 2000000)")
	sub.UInt64(&seed, "", "seed", "seed for sequence numbers and states")
	sub.String(&fault, "", "fault", "injected fault, to test that the checks fail")
	return command{sub: sub, run: func() int {
		cfg := standin.UpstreamConfig{Control: control, Seed: seed}
		addrs, err := parseAddrPorts(append([]string{listen, replyTo, control}, addresses...))
		if err != nil {
			return rejectArgument("upstream", err)
		}
		cfg.Listen, cfg.ReplyTo = addrs[0], addrs[1]
		cfg.ResponderConfig = standin.ResponderConfig{
			Name: name, Service: service, Addresses: addrs[3:], LedgerLimit: ledger,
		}
		if cfg.Fault, err = standin.ParseFault(fault); err != nil {
			return rejectArgument("upstream", err)
		}
		return runUntilSignal("upstream", standin.NewUpstream(cfg).Run)
	}}
}
