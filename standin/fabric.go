package standin

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"

	"golang.org/x/sync/errgroup"
)

// FabricBalancer is a balancer in the fabric's configuration.
type FabricBalancer struct {
	Name   string         `json:"name"`
	Data   netip.AddrPort `json:"data"`   // receives IP packets
	Health string         `json:"health"` // URL of the health check; status 200 means healthy
}

// FabricReport contains the fabric's counters and the state of its balancers.
type FabricReport struct {
	Packets   uint64            `json:"packets"`
	Dropped   uint64            `json:"dropped"` // packets received while no balancer was healthy
	Healthy   []string          `json:"healthy"`
	ByName    map[string]uint64 `json:"packets_by_balancer"` // packets sent to each balancer, by its name
	Balancers []FabricBalancer  `json:"balancers"`
}

// Fabric forwards each IP packet it receives to a random healthy balancer.
type Fabric struct {
	listen  netip.AddrPort
	control string
	relay   *Relay

	mu      sync.RWMutex
	entries []*fabricEntry
	rng     *rand.Rand

	packets, dropped atomic.Uint64
}

type fabricEntry struct {
	FabricBalancer
	healthy bool
	packets uint64
}

// NewFabric returns a fabric without balancers. It receives packets at listen and
// serves its own and the relay's control endpoint over HTTP at control.
func NewFabric(listen netip.AddrPort, control string, seed uint64) *Fabric {
	return &Fabric{
		listen:  listen,
		control: control,
		relay:   NewRelay(),
		rng:     rand.New(rand.NewPCG(seed, 0)),
	}
}

// Run serves until ctx ends or a socket fails.
func (f *Fabric) Run(ctx context.Context) error {
	conn, err := listenPackets(f.listen)
	if err != nil {
		return err
	}
	defer f.relay.Close()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return closeOnDone(ctx, conn) })
	group.Go(func() error { return readPackets(ctx, conn, func(p []byte) { f.forward(conn, p) }) })
	group.Go(func() error { return f.pollHealth(ctx) })
	group.Go(func() error { return serveHTTP(ctx, f.control, f.Handler()) })
	return group.Wait()
}

func (f *Fabric) forward(conn *net.UDPConn, p []byte) {
	f.packets.Add(1)
	to, ok := f.pickBalancer()
	if !ok {
		f.dropped.Add(1)
		return
	}
	// As on a real network, a packet to a balancer that has just failed is lost.
	_, _ = conn.WriteToUDPAddrPort(p, to)
}

// pickBalancer returns the address of a healthy balancer, chosen uniformly at random.
func (f *Fabric) pickBalancer() (netip.AddrPort, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	healthy := 0
	var chosen *fabricEntry
	for _, e := range f.entries {
		if !e.healthy {
			continue
		}
		healthy++
		if f.rng.IntN(healthy) == 0 {
			chosen = e
		}
	}
	if chosen == nil {
		return netip.AddrPort{}, false
	}
	chosen.packets++
	return chosen.Data, true
}

// SetBalancers replaces the list of balancers. A balancer that is new in the list
// receives packets after its first successful health check.
func (f *Fabric) SetBalancers(list []FabricBalancer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	old := make(map[FabricBalancer]*fabricEntry)
	for _, e := range f.entries {
		old[e.FabricBalancer] = e
	}
	f.entries = nil
	for _, b := range list {
		e := old[b]
		if e == nil {
			e = &fabricEntry{FabricBalancer: b}
		}
		f.entries = append(f.entries, e)
	}
}

// Report returns the current counters and balancer states.
func (f *Fabric) Report() FabricReport {
	f.mu.RLock()
	defer f.mu.RUnlock()
	r := FabricReport{
		Packets: f.packets.Load(),
		Dropped: f.dropped.Load(),
		ByName:  make(map[string]uint64),
	}
	for _, e := range f.entries {
		r.Balancers = append(r.Balancers, e.FabricBalancer)
		r.ByName[e.Name] = e.packets
		if e.healthy {
			r.Healthy = append(r.Healthy, e.Name)
		}
	}
	return r
}

// Handler returns the control endpoint: GET /report, PUT /balancers with a list of
// FabricBalancer, and the relay's control endpoint under /relay/.
func (f *Fabric) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /report", func(w http.ResponseWriter, _ *http.Request) {
		answerJSON(w, f.Report())
	})
	mux.HandleFunc("PUT /balancers", func(w http.ResponseWriter, r *http.Request) {
		var list []FabricBalancer
		if readJSON(w, r, &list) {
			f.SetBalancers(list)
			answerJSON(w, struct{}{})
		}
	})
	mux.Handle("/relay/", http.StripPrefix("/relay", f.relay.Handler()))
	return mux
}
