package main

import (
	"github.com/integrii/flaggy"

	"github.com/nutmegtrack/nutmegtrack/standin"
)

// newStandinHTTPUpstream returns `standin http-upstream`.
func newStandinHTTPUpstream() command {
	sub := flaggy.NewSubcommand("http-upstream")
	sub.Description = "responds to HTTP requests and records them in a ledger"
	listen := "127.0.0.1:8081"
	sub.String(&listen, "", "listen", "address to listen on, IP:PORT")
	return command{sub: sub, run: func() int {
		if _, err := parseAddrPorts([]string{listen}); err != nil {
			return rejectArgument("http-upstream", err)
		}
		return runUntilSignal("http-upstream", standin.NewHTTPUpstream(listen).Run)
	}}
}
