package quota

import (
	"time"

	"github.com/cockroachdb/errors"
)

// demandWindow is the length of a window in which demand for tokens is counted.
const demandWindow = time.Second

// account is a holder's state of one Account.
type account struct {
	id       Account
	held     int32 // tokens at this holder, including those in use; excluding channel queues
	used     int32
	recalled bool // admits nothing; free tokens are returned to the grantor

	// Tokens wanted in the current and in the last complete window.
	demand, lastDemand int32
	window             time.Duration // start of the current window

	// waitingFlows is the number of flows at this holder that wait for a token.
	// Requests do not wait: for kind Requests it is 1 from a refusal to waitingUntil or
	// the next admitted request, so that a token is requested.
	waitingFlows int32
	// waitingUntil is the time at which waitingFlows is reset to 0 after a refused
	// request, unless a request was admitted earlier.
	waitingUntil time.Duration

	tokenRequest *tokenRequest // set while tokens are requested from peers
	// waitingPeers holds the peers whose token request could not be met in full.
	waitingPeers []waitingPeer
}

// tokenRequest is the state of requesting tokens of one account from peers.
type tokenRequest struct {
	resendAt  time.Duration
	timer     backoff
	peers     []Party // in the order of Holder.requestOrder
	contacted int     // number of peers contacted in this round
}

type waitingPeer struct {
	peer   Party
	wanted int32
	until  time.Duration
}

func (a *account) free() int32 { return a.held - a.used }

// spare returns the number of free tokens in excess of the flows that wait for one.
func (a *account) spare() int32 { return max(0, a.free()-a.waitingFlows) }

// missing returns the number of tokens that waiting flows lack.
func (a *account) missing() int32 { return max(0, a.waitingFlows-a.free()) }

// addDemand adds tokens to the demand of the current window.
func (a *account) addDemand(now time.Duration, tokens int32) {
	a.rollWindow(now)
	a.demand += tokens
}

func (a *account) rollWindow(now time.Duration) {
	switch elapsed := now - a.window; {
	case elapsed < demandWindow:
	case elapsed < 2*demandWindow:
		a.lastDemand, a.demand, a.window = a.demand, 0, a.window+demandWindow
	default:
		a.lastDemand, a.demand, a.window = 0, 0, now
	}
}

// recentDemand returns the higher demand of the last two windows.
func (a *account) recentDemand(now time.Duration) int32 {
	a.rollWindow(now)
	return max(a.demand, a.lastDemand)
}

// check panics if the counts of the account are inconsistent.
func (a *account) check() {
	if a.used < 0 || a.held < a.used {
		panic(errors.AssertionFailedf("quota: account %x/%s holds %d tokens and uses %d",
			a.id.Customer, a.id.Kind, a.held, a.used))
	}
}

// addWaitingPeer adds a peer whose token request could not be met. It replaces an
// earlier request of the peer.
func (a *account) addWaitingPeer(w waitingPeer) {
	a.removeWaitingPeer(w.peer)
	a.waitingPeers = append(a.waitingPeers, w)
}

// removeWaitingPeer removes a peer's token request.
func (a *account) removeWaitingPeer(peer Party) {
	for i := range a.waitingPeers {
		if a.waitingPeers[i].peer == peer {
			a.waitingPeers = append(a.waitingPeers[:i], a.waitingPeers[i+1:]...)
			return
		}
	}
}

// nextWaitingPeer returns the peer that has waited longest and reduces its token
// request by one. Expired requests are removed.
func (a *account) nextWaitingPeer(now time.Duration) (Party, bool) {
	for len(a.waitingPeers) > 0 {
		w := a.waitingPeers[0]
		a.waitingPeers = a.waitingPeers[1:]
		if now >= w.until {
			continue
		}
		// A peer that wants more tokens is moved to the end of the queue.
		if w.wanted--; w.wanted > 0 {
			a.waitingPeers = append(a.waitingPeers, w)
		}
		return w.peer, true
	}
	return Party{}, false
}
