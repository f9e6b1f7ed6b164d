package agent

import (
	"github.com/nutmegtrack/nutmegtrack/packet"
	"github.com/nutmegtrack/nutmegtrack/settings"
)

// endpoint is one of the service's addresses in the form that a packet's key has.
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

// owns reports whether the flow's destination is an address of this service, as far as
// the agent knows its addresses.
func (a *Agent) owns(k *packet.Key) bool {
	return a.endpoints == nil || a.endpoints[endpoint{k.Dst, k.DstPort, k.Proto}]
}
