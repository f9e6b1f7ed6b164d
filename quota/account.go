package quota

import (
	"time"

	"github.com/cockroachdb/errors"
)

// demandWindow is the time over which demand for tokens is counted.
const demandWindow = time.Second

// account is one row of a holder's table.
type account struct {
	id       Account
	held     int32 // tokens here, used ones included; channel queues excluded
	used     int32
	recalled bool // admits nothing; free tokens go back to the grantor

	// Demand counts wanted tokens in the current and in the last full window.
	demand, lastDemand int32
	window             time.Duration // start of the current window

	// flows is the number of flows or requests here that wait for a token.
	flows int32
	// flowsUntil is when a refused request no longer counts in flows.
	flowsUntil time.Duration

	need *need // set while tokens are wanted from peers
	// waiting lists peers whose ask could not be met.
	waiting []waiter
}

// need is the state of asking peers for tokens of one account.
type need struct {
	next  time.Duration
	timer backoff
	peers []Party // to be asked, the account's home first
	asked int     // peers asked in this round
}

type waiter struct {
	peer   Party
	wanted int32
	until  time.Duration
}

func (a *account) free() int32 { return a.held - a.used }

// spare returns the free tokens that no flow waits for.
func (a *account) spare() int32 { return max(0, a.free()-a.flows) }

// missing returns the number of tokens that waiting flows still need.
func (a *account) missing() int32 { return max(0, a.flows-a.free()) }

// count adds wanted tokens to the demand of the current window.
func (a *account) count(now time.Duration, tokens int32) {
	a.roll(now)
	a.demand += tokens
}

func (a *account) roll(now time.Duration) {
	switch elapsed := now - a.window; {
	case elapsed < demandWindow:
	case elapsed < 2*demandWindow:
		a.lastDemand, a.demand, a.window = a.demand, 0, a.window+demandWindow
	default:
		a.lastDemand, a.demand, a.window = 0, 0, now
	}
}

// recent returns the higher demand of the last two windows.
func (a *account) recent(now time.Duration) int32 {
	a.roll(now)
	return max(a.demand, a.lastDemand)
}

// check panics when the account's counts contradict each other.
func (a *account) check() {
	if a.used < 0 || a.held < a.used {
		panic(errors.AssertionFailedf("quota: account %x/%s holds %d tokens and uses %d",
			a.id.Customer, a.id.Kind, a.held, a.used))
	}
}

// addWaiter remembers a peer whose ask could not be met, in place of its earlier
// ask.
func (a *account) addWaiter(w waiter) {
	a.dropWaiter(w.peer)
	a.waiting = append(a.waiting, w)
}

// dropWaiter forgets a peer's ask.
func (a *account) dropWaiter(peer Party) {
	for i := range a.waiting {
		if a.waiting[i].peer == peer {
			a.waiting = append(a.waiting[:i], a.waiting[i+1:]...)
			return
		}
	}
}

// takeWaiter returns the peer that has waited longest and counts one token as
// given to it.
func (a *account) takeWaiter(now time.Duration) (Party, bool) {
	for len(a.waiting) > 0 {
		w := a.waiting[0]
		a.waiting = a.waiting[1:]
		if now >= w.until {
			continue
		}
		// A peer that wants more waits behind the others.
		if w.wanted--; w.wanted > 0 {
			a.waiting = append(a.waiting, w)
		}
		return w.peer, true
	}
	return Party{}, false
}
