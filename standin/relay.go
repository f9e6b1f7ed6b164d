package standin

import (
	"net"
	"net/netip"
	"sync"

	"github.com/cockroachdb/errors"
)

// RelayedDaemon describes one daemon behind the relay.
type RelayedDaemon struct {
	Name      string         `json:"name"`
	Advertise netip.AddrPort `json:"advertise"` // the relay listens here
	Target    netip.AddrPort `json:"target"`    // the daemon listens here
	// Source is the source address of the connections that the daemon opens. The
	// relay cannot identify the caller if several daemons share a source address.
	Source netip.Addr `json:"source"`
}

// RelayedDaemonReport counts the connections to one daemon and their bytes.
type RelayedDaemonReport struct {
	Name        string `json:"name"`
	In          uint64 `json:"in"`  // bytes to the daemon
	Out         uint64 `json:"out"` // bytes from the daemon
	Connections uint64 `json:"connections"`
	Refused     uint64 `json:"refused"` // connections refused because of a partition
	Cut         uint64 `json:"cut"`     // connections closed by SetPartitions
}

// Relay forwards control connections to daemons, counts their bytes, and can
// partition daemons from each other.
type Relay struct {
	mu         sync.Mutex
	entries    map[string]*relayEntry
	conns      map[*relayConn]struct{}
	partitions []Partition
	goroutines sync.WaitGroup
}

type relayEntry struct {
	RelayedDaemon
	listener net.Listener
	counts   RelayedDaemonReport
}

type relayConn struct {
	caller string // name of the calling daemon, or "" if unknown
	entry  *relayEntry
	client net.Conn
	daemon net.Conn
}

// NewRelay returns a relay without daemons.
func NewRelay() *Relay {
	return &Relay{entries: make(map[string]*relayEntry), conns: make(map[*relayConn]struct{})}
}

// Add starts to accept connections on the advertised address of a daemon.
func (r *Relay) Add(d RelayedDaemon) error {
	listener, err := net.Listen("tcp", d.Advertise.String())
	if err != nil {
		return errors.Wrapf(err, "relay listener for %s", d.Name)
	}
	entry := &relayEntry{RelayedDaemon: d, listener: listener}
	entry.Advertise = listener.Addr().(*net.TCPAddr).AddrPort()
	entry.counts.Name = d.Name
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.entries[d.Name] != nil {
		_ = listener.Close()
		return errors.Newf("relay: %s has already been added", d.Name)
	}
	r.entries[d.Name] = entry
	r.goroutines.Go(func() { r.accept(entry) })
	return nil
}

// Remove closes the listener and the connections of a daemon. Its counters remain in
// the report.
func (r *Relay) Remove(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if entry := r.entries[name]; entry != nil {
		_ = entry.listener.Close()
	}
	for c := range r.conns {
		if c.entry.Name == name {
			c.close()
		}
	}
}

// Close closes all listeners and connections, and waits for their goroutines.
func (r *Relay) Close() {
	r.mu.Lock()
	for _, entry := range r.entries {
		_ = entry.listener.Close()
	}
	for c := range r.conns {
		c.close()
	}
	r.mu.Unlock()
	r.goroutines.Wait()
}

func (r *Relay) accept(entry *relayEntry) {
	for {
		client, err := entry.listener.Accept()
		if err != nil {
			return // the listener is closed
		}
		r.goroutines.Go(func() { r.serve(entry, client) })
	}
}

// serve forwards one connection in both directions until either side closes it.
func (r *Relay) serve(entry *relayEntry, client net.Conn) {
	c := &relayConn{entry: entry, client: client}
	if !r.register(c) {
		_ = client.Close()
		return
	}
	defer r.unregister(c)
	daemon, err := net.Dial("tcp", entry.Target.String())
	if err != nil {
		return
	}
	if !r.attachDaemon(c, daemon) {
		_ = daemon.Close()
		return
	}
	var directions sync.WaitGroup
	directions.Go(func() { r.copy(c, daemon, client, &entry.counts.In) })
	directions.Go(func() { r.copy(c, client, daemon, &entry.counts.Out) })
	directions.Wait()
}

// register identifies the caller and adds the connection, unless a partition
// blocks it.
func (r *Relay) register(c *relayConn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	c.caller = r.callerOf(c.client)
	if r.isPartitioned(c.caller, c.entry.Name) {
		c.entry.counts.Refused++
		return false
	}
	c.entry.counts.Connections++
	r.conns[c] = struct{}{}
	return true
}

// attachDaemon stores the daemon's side of the connection, unless a partition has
// blocked it in the meantime.
func (r *Relay) attachDaemon(c *relayConn, daemon net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isPartitioned(c.caller, c.entry.Name) {
		return false
	}
	c.daemon = daemon
	return true
}

func (r *Relay) unregister(c *relayConn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, c)
	c.close()
}

// callerOf returns the name of the daemon with the connection's source address, or
// "" if there is none or more than one.
func (r *Relay) callerOf(client net.Conn) string {
	source := client.RemoteAddr().(*net.TCPAddr).AddrPort().Addr().Unmap()
	name := ""
	for _, entry := range r.entries {
		if entry.Source != source {
			continue
		}
		if name != "" {
			return ""
		}
		name = entry.Name
	}
	return name
}

// copy forwards one direction of a connection and closes both sides when it ends.
func (r *Relay) copy(c *relayConn, to, from net.Conn, bytes *uint64) {
	defer c.close()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			r.mu.Lock()
			*bytes += uint64(n)
			r.mu.Unlock()
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (c *relayConn) close() {
	_ = c.client.Close()
	if c.daemon != nil {
		_ = c.daemon.Close()
	}
}
