package demo

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/nutmegtrack/nutmegtrack/standin"
)

// partitionDuration is the time without heartbeats after which a balancer suspects an
// upstream, so that failure detection takes effect during the partition.
const partitionDuration = 3 * time.Second

// partitionDomain blocks the control traffic between one failure domain and the others
// for partitionDuration, also that of daemons that start meanwhile.
func partitionDomain(ctx context.Context, f *fleet, rng *rand.Rand) error {
	domain := f.spec.domains[rng.IntN(len(f.spec.domains))]
	before, err := f.blockedConnections(ctx)
	if err != nil {
		return err
	}
	f.logf("%s partitioned from the other failure domains for %s", domain, partitionDuration)
	if err := f.setPartition(ctx, domain); err != nil {
		return err
	}
	if !sleep(ctx, partitionDuration) {
		return context.Cause(ctx)
	}
	if err := f.setPartition(ctx, ""); err != nil {
		return err
	}
	after, err := f.blockedConnections(ctx)
	if err != nil {
		return err
	}
	if after == before {
		return errors.Newf("the partition of %s closed or refused no connection", domain)
	}
	f.logf("partition of %s ended, %d connections were closed or refused", domain, after-before)
	return nil
}

// setPartition partitions a failure domain from the others; an empty domain ends the
// partition.
func (f *fleet) setPartition(ctx context.Context, domain string) error {
	f.mu.Lock()
	f.partitionedDomain = domain
	f.mu.Unlock()
	return f.updateRelayPartitions(ctx)
}

// updateRelayPartitions sends the current partition to the relay.
func (f *fleet) updateRelayPartitions(ctx context.Context) error {
	f.relayUpdates.Lock()
	defer f.relayUpdates.Unlock()
	return sendJSON(ctx, http.MethodPut, f.fabric.control, "/relay/partitions", f.partitions())
}

func (f *fleet) partitions() []standin.Partition {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := []standin.Partition{}
	if f.partitionedDomain == "" {
		return list
	}
	var p standin.Partition
	for name, domain := range f.domains {
		if domain == f.partitionedDomain {
			p.A = append(p.A, name)
		} else {
			p.B = append(p.B, name)
		}
	}
	return append(list, p)
}

// blockedConnections returns the number of control connections that partitions have
// closed or refused so far.
func (f *fleet) blockedConnections(ctx context.Context) (uint64, error) {
	var routes []standin.RelayedDaemonReport
	if err := getJSON(ctx, f.fabric.control, "/relay/report", &routes); err != nil {
		return 0, err
	}
	var n uint64
	for _, r := range routes {
		n += r.Cut + r.Refused
	}
	return n, nil
}
