package standin_test

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/nutmegtrack/nutmegtrack/packet"
	"github.com/nutmegtrack/nutmegtrack/standin"
)

var (
	portal = []netip.AddrPort{
		netip.MustParseAddrPort("192.0.2.1:443"),
		netip.MustParseAddrPort("[2001:db8:ffff::1]:443"),
	}
	intake  = []netip.AddrPort{netip.MustParseAddrPort("192.0.2.2:443")}
	sources = []netip.Prefix{netip.MustParsePrefix("10.1.0.0/16"), netip.MustParsePrefix("2001:db8:1::/48")}
)

// link is a network in virtual time that connects clients with responders. The
// function route takes the place of the balancers.
type link struct {
	now       time.Duration
	clients   *standin.LoadGenerator
	servers   []*standin.Responder
	route     func(l *link, in *packet.Info) int // returns the index of the responder, or -1 to drop the packet
	seen      []packet.Key
	toServers [][]byte
}

func newLink(cfg standin.LoadConfig, servers ...standin.ResponderConfig) *link {
	l := &link{route: func(*link, *packet.Info) int { return 0 }}
	cfg.Sources = sources
	l.clients = standin.NewLoadGenerator(cfg, rand.New(rand.NewPCG(1, 2)), func(p []byte) {
		l.toServers = append(l.toServers, slices.Clone(p))
	})
	for i, s := range servers {
		l.servers = append(l.servers, standin.NewResponder(s, rand.New(rand.NewPCG(3, uint64(i)))))
	}
	return l
}

// run advances virtual time by d and delivers all packets.
func (l *link) run(d time.Duration) {
	const step = 5 * time.Millisecond
	for end := l.now + d; l.now < end; l.now += step {
		l.clients.Step(l.now)
		l.deliver()
	}
}

func (l *link) deliver() {
	for len(l.toServers) > 0 {
		p := l.toServers[0]
		l.toServers = l.toServers[1:]
		var in packet.Info
		if err := packet.Parse(p, &in); err != nil {
			panic(err)
		}
		l.seen = append(l.seen, in.Key)
		to := l.route(l, &in)
		if to < 0 {
			continue
		}
		if answer := l.servers[to].Receive(l.now, p); answer != nil {
			l.clients.Receive(l.now, answer)
		}
	}
}

// records returns the recorded requests of each responder.
func (l *link) records() [][]standin.Run {
	var all [][]standin.Run
	for _, s := range l.servers {
		runs, _ := s.Runs()
		all = append(all, runs)
	}
	return all
}

func portalOnly(flows int) standin.LoadConfig {
	return standin.LoadConfig{
		Targets: []standin.Target{{Service: "portal", Addresses: portal}},
		Flows:   flows,
	}
}

func portalServer(name string, f standin.UpstreamFault) standin.ResponderConfig {
	return standin.ResponderConfig{Name: name, Service: "portal", Addresses: portal, Fault: f}
}
