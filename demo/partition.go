package demo

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/nutmegtrack/nutmegtrack/standin"
)

// partitionLength is as long as the missed heartbeats after which an upstream is
// suspected, so that failure detection acts during the partition.
const partitionLength = 3 * time.Second

// partitionDomain cuts the control traffic between one failure domain and the others
// for a while. Daemons that start meanwhile are cut as well.
func partitionDomain(ctx context.Context, f *fleet, rng *rand.Rand) error {
	domain := f.spec.domains[rng.IntN(len(f.spec.domains))]
	before, err := f.controlCuts(ctx)
	if err != nil {
		return err
	}
	f.say("%s cut from the other failure domains for %s", domain, partitionLength)
	if err := f.setPartition(ctx, domain); err != nil {
		return err
	}
	if !pause(ctx, partitionLength) {
		return context.Cause(ctx)
	}
	if err := f.setPartition(ctx, ""); err != nil {
		return err
	}
	after, err := f.controlCuts(ctx)
	if err != nil {
		return err
	}
	if after == before {
		return errors.Newf("the partition of %s has cut no connection", domain)
	}
	f.say("%s connected again, %d connections were cut or refused", domain, after-before)
	return nil
}

// setPartition cuts a failure domain from the others; an empty one ends the cut.
func (f *fleet) setPartition(ctx context.Context, domain string) error {
	f.mu.Lock()
	f.cutDomain = domain
	f.mu.Unlock()
	return f.tellRelay(ctx)
}

// tellRelay gives the relay the partition in force.
func (f *fleet) tellRelay(ctx context.Context) error {
	f.relayCalls.Lock()
	defer f.relayCalls.Unlock()
	return sendJSON(ctx, http.MethodPut, f.fabric.control, "/relay/partitions", f.partitions())
}

func (f *fleet) partitions() []standin.Partition {
	f.mu.Lock()
	defer f.mu.Unlock()
	cuts := []standin.Partition{}
	if f.cutDomain == "" {
		return cuts
	}
	var p standin.Partition
	for name, domain := range f.domains {
		if domain == f.cutDomain {
			p.A = append(p.A, name)
		} else {
			p.B = append(p.B, name)
		}
	}
	return append(cuts, p)
}

// controlCuts returns the connections that partitions have closed or refused so far.
func (f *fleet) controlCuts(ctx context.Context) (uint64, error) {
	var routes []standin.RouteReport
	if err := getJSON(ctx, f.fabric.control, "/relay/report", &routes); err != nil {
		return 0, err
	}
	var n uint64
	for _, r := range routes {
		n += r.Cut + r.Refused
	}
	return n, nil
}
