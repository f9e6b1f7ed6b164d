package control

import (
	"context"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrClosed says that the server or client was closed.
var ErrClosed = errors.New("control: closed")

// Server serves net/rpc calls over TCP.
type Server struct {
	rpc    *rpc.Server
	counts *Counts

	mu        sync.Mutex
	listeners map[net.Listener]struct{}
	conns     map[net.Conn]struct{}
	closed    bool
	active    sync.WaitGroup // connections being served
}

// NewServer returns a server without services that adds its traffic to counts.
func NewServer(counts *Counts) *Server {
	return &Server{
		rpc:       rpc.NewServer(),
		counts:    counts,
		listeners: make(map[net.Listener]struct{}),
		conns:     make(map[net.Conn]struct{}),
	}
}

// Register adds a service under a name, as rpc.Server.RegisterName does.
func (s *Server) Register(name string, service any) error {
	return errors.Wrapf(s.rpc.RegisterName(name, service), "control: service %q", name)
}

// Serve accepts connections until the listener fails or the server is closed; it
// returns ErrClosed in the second case.
func (s *Server) Serve(l net.Listener) error {
	if !s.addListener(l) {
		_ = l.Close()
		return ErrClosed
	}
	for {
		conn, err := l.Accept()
		if err != nil {
			return s.acceptError(err)
		}
		go s.serveConn(conn)
	}
}

func (s *Server) addListener(l net.Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.listeners[l] = struct{}{}
	return true
}

func (s *Server) acceptError(err error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return ErrClosed
	}
	return errors.Wrap(err, "control: accept")
}

func (s *Server) serveConn(conn net.Conn) {
	if !s.addConn(conn) {
		_ = conn.Close()
		return
	}
	defer s.active.Done()
	// Returns once the peer has closed and the calls in progress have ended.
	s.rpc.ServeConn(countedConn{conn, s.counts})
	s.mu.Lock()
	delete(s.conns, conn)
	s.mu.Unlock()
}

func (s *Server) addConn(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.conns[conn] = struct{}{}
	s.active.Add(1)
	return true
}

// Close stops accepting connections and calls and waits for the calls in
// progress. When ctx ends first, their connections are cut and the context's
// error is returned.
func (s *Server) Close(ctx context.Context) error {
	s.stop()
	done := make(chan struct{})
	go func() {
		s.active.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		s.cut()
		return ctx.Err()
	}
}

// stop ends reading: a server connection whose read fails still answers the calls
// that it has read.
func (s *Server) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for l := range s.listeners {
		_ = l.Close()
	}
	for conn := range s.conns {
		_ = conn.SetReadDeadline(time.Unix(1, 0))
	}
}

func (s *Server) cut() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		_ = conn.Close()
	}
}
