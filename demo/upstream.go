package demo

import (
	"context"
	"net/netip"
	"time"

	"github.com/nutmegtrack/nutmegtrack/standin"
)

// upstreamVM is one upstream with its agent.
type upstreamVM struct {
	name, domain, service string
	agent, server         *process
	control               netip.AddrPort // control address of the agent
	reportAddr            netip.AddrPort // HTTP endpoint of the upstream
	started               time.Time
	drainStart            time.Time // when its drain was requested
	killed                bool
	finalReport           *standin.UpstreamReport // read when the upstream was killed
}

// upstreamAddrs are the addresses of one upstream VM.
type upstreamAddrs struct {
	data, control, advertise, sink, replies, report netip.AddrPort
}

func (f *fleet) newUpstreamAddrs() (a upstreamAddrs, err error) {
	control, err := f.ports.nextHost()
	if err != nil {
		return a, err
	}
	list, err := f.ports.nextPorts(5)
	if err != nil {
		return a, err
	}
	return upstreamAddrs{list[0], control, list[1], list[2], list[3], list[4]}, nil
}

// startUpstream starts one upstream of the service with its agent.
func (f *fleet) startUpstream(ctx context.Context, s serviceSpec, fault standin.UpstreamFault) (*upstreamVM, error) {
	addrs, err := f.newUpstreamAddrs()
	if err != nil {
		return nil, err
	}
	u := &upstreamVM{service: s.name, control: addrs.control, reportAddr: addrs.report, started: time.Now()}
	u.name, u.domain = f.vmName(s.name)
	if u.server, err = f.startServer(u, s, addrs, fault); err != nil {
		return nil, err
	}
	if err := f.waitForHTTP(ctx, u.server, u.reportAddr, "/report"); err != nil {
		return nil, err
	}
	if err := f.addRoute(ctx, u.name, addrs.advertise, addrs.control); err != nil {
		return nil, err
	}
	if u.agent, err = f.startAgent(u, addrs); err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.upstreams = append(f.upstreams, u)
	return u, nil
}

func (f *fleet) startServer(u *upstreamVM, s serviceSpec, a upstreamAddrs, fault standin.UpstreamFault) (*process, error) {
	args := []string{"standin", "upstream",
		"--name", u.name,
		"--service", u.service,
		"--listen", a.sink.String(),
		"--reply-to", a.replies.String(),
		"--control", a.report.String(),
		"--seed", f.randomSeed(),
		"--fault", string(fault),
	}
	for _, address := range s.addresses {
		args = append(args, "--address", address.String())
	}
	return f.startMonitored("upstream-"+u.name, args...)
}

func (f *fleet) startAgent(u *upstreamVM, a upstreamAddrs) (*process, error) {
	fields := map[string]any{
		"/name":                  u.name,
		"/failure_domain":        u.domain,
		"/data_address":          a.data,
		"/control_listen":        a.control,
		"/control_advertise":     a.advertise,
		"/seeds":                 f.seedAddresses(),
		"/upstream_sink_address": a.sink,
		"/reply_listen":          a.replies,
		"/reply_address":         f.replyAddr,
	}
	if f.cfg.isLongRun() {
		fields["/drain_limit_seconds"] = longDrainLimit.Seconds()
	}
	path, err := writeSettings(f.dir, agentFile(f.spec.name, u.service), u.name, fields)
	if err != nil {
		return nil, err
	}
	return f.startMonitored(u.name, "agent", "--settings", path)
}

// startUpstreams starts the initial upstreams of all services.
func (f *fleet) startUpstreams(ctx context.Context) error {
	for _, s := range f.spec.services {
		for i := range s.upstreams {
			fault := standin.FaultNone
			if i == 0 {
				fault = f.cfg.Fault
			}
			if _, err := f.startUpstream(ctx, s, fault); err != nil {
				return err
			}
		}
	}
	return nil
}
