package bench

import (
	"net/netip"
	"time"

	"github.com/nutmegtrack/nutmegtrack/packet"
	"github.com/nutmegtrack/nutmegtrack/request"
)

const (
	storeDelay          = 5 * time.Millisecond
	storeOutageInterval = 5 * time.Minute
	storeOutage         = 30 * time.Second
)

// requestStore is the baseline: the platform's store issues all permits.
type requestStore struct {
	w         *requestWorld
	self      request.Process
	addr      netip.AddrPort
	registrar *request.Registrar
	writes    int
}

func newRequestStore(w *requestWorld) *requestStore {
	s := &requestStore{w: w, self: request.Process{ID: packet.AgentIDOf("store"), Incarnation: 1}, addr: requestAddr(60001)}
	s.registrar = request.NewRegistrar(request.RegistrarConfig{NewService: true}, s.self)
	s.registrar.SetMembers(0, []request.Member{{ID: s.self.ID, Incarnation: 1, FailureDomain: "store", Registrar: true}})
	w.net.Attach(s.addr, "store", s.receive)
	w.net.Every(s.addr, time.Second, func() { s.registrar.Step(w.net.Now()) })
	return s
}

func (s *requestStore) down(now time.Duration) bool {
	return now%storeOutageInterval >= storeOutageInterval-storeOutage
}

func (s *requestStore) receive(now time.Duration, from netip.AddrPort, message any) any {
	m, ok := message.(request.Message)
	if !ok || s.down(now) {
		return nil
	}
	s.writes++
	switch m.Kind {
	case request.KindRelease:
		s.registrar.Release(m.Key, m.Attempt)
		return nil
	case request.KindDone:
		s.registrar.Done(m.Key, m.Attempt)
		return nil
	}
	reply := s.registrar.Claim(now, m)
	s.w.net.After(s.addr, storeDelay, func() { s.w.send(s.addr, from, reply) })
	return nil
}
