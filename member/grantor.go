package member

import (
	"maps"
	"net/netip"

	"github.com/nutmegtrack/nutmegtrack/packet"
)

// Grantor is the balancer that issues a service's quota tokens.
type Grantor struct {
	ID      packet.AgentID `cbor:"1,keyasint"`
	Control netip.AddrPort `cbor:"2,keyasint"`
	Term    int64          `cbor:"3,keyasint"` // mod revision of the write that elected it
}

// SetGrantors installs the services' grantors as read from the store. For each
// service the grantor with the highest term seen is kept.
func (n *Node) SetGrantors(grantors map[string]Grantor) {
	merged := make(map[string]Grantor, len(grantors))
	maps.Copy(merged, grantors)
	for service, known := range n.grantors {
		if known.Term > merged[service].Term {
			merged[service] = known
		}
	}
	n.grantors = merged
}

// newerGrantor returns the service's grantor if its term is higher than the given
// one, and nil otherwise.
func (n *Node) newerGrantor(service string, term int64) *Grantor {
	if g := n.grantors[service]; g.Term > term {
		return &g
	}
	return nil
}

// Grantor returns the service's grantor with the highest term that this agent has
// received. The term is 0 until one has been received.
func (a *Announcer) Grantor() Grantor { return a.grantor }

func (a *Announcer) noteGrantor(g *Grantor) {
	if g != nil && g.Term > a.grantor.Term {
		a.grantor = *g
	}
}
