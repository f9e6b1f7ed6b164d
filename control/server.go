package control

import (
	"context"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrClosed is returned by a server or client that has been closed.
var ErrClosed = errors.New("control: server or client is closed")

// Server is a net/rpc server over TCP.
type Server struct {
	rpc    *rpc.Server
	counts *Counts

	mu        sync.Mutex
	listeners map[net.Listener]struct{}
	conns     map[net.Conn]struct{}
	closed    bool
	active    sync.WaitGroup // connections being served
}

// NewServer returns a server without services that counts its traffic in counts.
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
	return errors.Wrapf(s.rpc.RegisterName(name, service), "control: register service %q", name)
}

// Serve accepts connections until the listener fails or the server is closed. It
// returns ErrClosed if the server is closed.
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
	return errors.Wrap(err, "control: accept connection")
}

func (s *Server) serveConn(conn net.Conn) {
	if !s.addConn(conn) {
		_ = conn.Close()
		return
	}
	defer s.active.Done()
	// ServeConn returns once the peer has closed the connection and the calls in progress
	// have ended.
	s.rpc.ServeConn(countingConn{conn, s.counts})
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

// Close stops accepting connections and calls and waits for the calls in progress. If
// ctx ends first, Close closes their connections and returns the context's error.
func (s *Server) Close(ctx context.Context) error {
	s.stopReading()
	done := make(chan struct{})
	go func() {
		s.active.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		s.closeConns()
		return ctx.Err()
	}
}

// stopReading closes the listeners and stops reading requests. A server connection whose
// read fails still sends the replies to the calls that it has already read.
func (s *Server) stopReading() {
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

func (s *Server) closeConns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		_ = conn.Close()
	}
}
