package agent

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/nutmegtrack/nutmegtrack/flow"
	"github.com/nutmegtrack/nutmegtrack/packet"
	"github.com/nutmegtrack/nutmegtrack/settings"
)

// endpoint is an address, port and protocol of the service, in the form used by packet.Key.
type endpoint struct {
	addr  [16]byte
	port  uint16
	proto uint8
}

func endpointSet(list []settings.Endpoint) map[endpoint]bool {
	if len(list) == 0 {
		return nil
	}
	out := make(map[endpoint]bool, len(list))
	for _, e := range list {
		out[endpoint{e.Address.Addr().As16(), e.Address.Port(), protocol(e.Protocol)}] = true
	}
	return out
}

func protocol(name string) uint8 {
	if name == "udp" {
		return packet.ProtoUDP
	}
	return packet.ProtoTCP
}

// owns reports whether the flow's destination is an endpoint of this service. It is
// always true if the settings list no endpoints.
func (a *Agent) owns(k *packet.Key) bool {
	return a.endpoints == nil || a.endpoints[endpoint{k.Dst, k.DstPort, k.Proto}]
}

// maxLearned is the maximum number of endpoints that an agent learns from its
// upstream's packets.
const maxLearned = 64

// learnEndpoint records the endpoint of a packet that the upstream has sent, which shows
// that the upstream holds flows of that endpoint. It reports whether the endpoint is new.
// The caller holds flows.mu.
func (a *Agent) learnEndpoint(k *packet.Key) bool {
	return a.addLearned(endpoint{k.Dst, k.DstPort, k.Proto})
}

// addLearned adds an endpoint to the learned ones and reports whether it is new. The caller holds flows.mu.
func (a *Agent) addLearned(e endpoint) bool {
	if a.endpoints != nil || a.learned[e] || len(a.learned) >= maxLearned {
		return false
	}
	a.learned[e] = true
	return true
}

// learnedEndpoints returns the endpoints of the flows that the upstream holds, in sorted order, with
// flow.AnyEndpoint first if it may hold flows of others: complete says that no such flows are possible.
func (a *Agent) learnedEndpoints(complete bool) []flow.Endpoint {
	out := make([]flow.Endpoint, 0, len(a.learned)+1)
	if a.endpoints == nil && (!complete || len(a.learned) >= maxLearned) {
		out = append(out, flow.AnyEndpoint)
	}
	for e := range a.learned {
		out = append(out, flow.Endpoint{Addr: netip.AddrPortFrom(netip.AddrFrom16(e.addr).Unmap(), e.port), Proto: e.proto})
	}
	slices.SortFunc(out, func(x, y flow.Endpoint) int {
		return cmp.Or(x.Addr.Compare(y.Addr), cmp.Compare(x.Proto, y.Proto))
	})
	return out
}
