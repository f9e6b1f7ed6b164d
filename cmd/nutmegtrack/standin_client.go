package main

import (
	"encoding/json"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/integrii/flaggy"

	"github.com/nutmegtrack/nutmegtrack/standin"
)

// newStandinClient returns `standin client`.
func newStandinClient() command {
	sub := flaggy.NewSubcommand("client")
	sub.Description = "simulates many clients that open flows, and checks the responses"
	var listen, fabric, control, load string
	var seed uint64
	sub.String(&listen, "", "listen", "address for replies, IP:PORT")
	sub.String(&fabric, "", "fabric", "the fabric's address for packets, IP:PORT")
	sub.String(&control, "", "control", "address of the HTTP endpoint, IP:PORT")
	sub.String(&load, "", "load", "JSON file with services, sources and flows")
	sub.UInt64(&seed, "", "seed", "seed for the load")
	return command{sub: sub, run: func() int {
		addrs, err := parseAddrPorts([]string{listen, fabric, control})
		if err != nil {
			return rejectArgument("client", err)
		}
		cfg := standin.ClientConfig{Listen: addrs[0], Fabric: addrs[1], Control: control, Seed: seed}
		if cfg.LoadConfig, err = readLoadFile(load); err != nil {
			return rejectArgument("client", err)
		}
		return runUntilSignal("client", standin.NewClient(cfg).Run)
	}}
}

func readLoadFile(path string) (standin.LoadConfig, error) {
	var cfg standin.LoadConfig
	b, err := os.ReadFile(path)
	if err != nil {
		return cfg, errors.Wrap(err, "load file")
	}
	if err := json.Unmarshal(b, &cfg); err != nil {
		return cfg, errors.Wrapf(err, "load file %s", path)
	}
	return cfg, cfg.Check()
}
