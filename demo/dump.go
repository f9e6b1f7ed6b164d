package demo

import (
	"context"
	"encoding/json"
	"net/netip"

	"github.com/cockroachdb/errors"

	"github.com/nutmegtrack/nutmegtrack/control"
	"github.com/nutmegtrack/nutmegtrack/flow"
)

// Names of the dump sources that the demo reads.
const (
	sourceProcess = "process"
	sourceMembers = "members"
)

// dumpState is the part of a dump that the demo reads.
type dumpState struct {
	Process struct {
		Revision  int64 `json:"revision"` // of the active lists
		OpenFlows int   `json:"open_flows"`
	} `json:"process"`
	Members []struct {
		Name    string `json:"name"`
		Service string `json:"service"` // empty for a balancer
		State   string `json:"state"`
	} `json:"members"`
}

// dump requests the state of a daemon.
func (f *fleet) dump(ctx context.Context, addr netip.AddrPort) (dumpState, error) {
	var state dumpState
	var reply control.DumpReply
	args := &control.DumpArgs{Sources: []string{sourceProcess, sourceMembers}}
	if err := f.controlClient.Call(ctx, addr, control.DumpService+".State", args, &reply); err != nil {
		return state, err
	}
	return state, errors.Wrap(json.Unmarshal(reply.JSON, &state), "dump")
}

// checkView returns an error unless the balancer's view contains all balancers and
// all upstreams as ready.
func (f *fleet) checkView(ctx context.Context, b *balancerVM) error {
	state, err := f.dump(ctx, b.control)
	if err != nil {
		return err
	}
	ready := make(map[string]int)
	for _, m := range state.Members {
		if m.State == flow.Ready.String() {
			ready[m.Service]++
		}
	}
	if ready[""] < f.spec.balancers {
		return errors.Newf("%s sees %d of %d balancers as ready", b.name, ready[""], f.spec.balancers)
	}
	for _, s := range f.spec.services {
		if ready[s.name] < s.upstreams {
			return errors.Newf("%s sees %d of %d upstreams of %s as ready", b.name, ready[s.name], s.upstreams, s.name)
		}
	}
	return nil
}

// waitForViews waits until the view of every balancer contains the whole fleet as
// ready.
func (f *fleet) waitForViews(ctx context.Context) error {
	for _, b := range f.liveBalancers() {
		err := poll(ctx, startTimeout, func() error { return f.checkView(ctx, b) })
		if err != nil && ctx.Err() == nil {
			return b.process.failure(err.Error())
		}
		if err != nil {
			return err
		}
	}
	return nil
}
