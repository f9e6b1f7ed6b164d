//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// restartDelay is the platform's delay before it restarts a process that has ended.
const restartDelay = 500 * time.Millisecond

// ports are the same on all machines.
type ports struct {
	datagram, ready, control, outbound, app, internal, store uint16
}

// fleet is a small deployment on loopback addresses.
type fleet struct {
	rec       *recorder
	root, dir string
	net       [3]byte // first three bytes of all addresses
	ports     ports
	store     *metadataStore
	storeAddr netip.AddrPort
	seeds     []string
	balancers []*machine
	sides     []*machine
	router    *router
	clients   *clientMachine
	version   int
}

// machine is a machine with one daemon.
type machine struct {
	f        *fleet
	name     string
	zone     string
	ip       netip.Addr
	role     string // balancer or agent
	service  string // of a side machine
	server   *appServer
	settings string

	mu      sync.Mutex
	cmd     *exec.Cmd
	stopped bool // not to be restarted
	starts  int
}

func (m *machine) at(port uint16) netip.AddrPort { return netip.AddrPortFrom(m.ip, port) }

func newFleet(rec *recorder, root string) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{rec: rec, root: root, dir: dir}
	for range 50 {
		f.net = [3]byte{127, byte(64 + rand.IntN(180)), byte(1 + rand.IntN(250))}
		p := uint16(20000 + rand.IntN(10000))
		f.ports = ports{datagram: p, ready: p + 1, control: p + 2, outbound: p + 3, app: p + 4, internal: p + 5, store: p + 6}
		if f.portsFree() {
			f.storeAddr = netip.AddrPortFrom(f.addr(1), f.ports.store)
			return f, nil
		}
	}
	return nil, fmt.Errorf("no free ports")
}

func (f *fleet) portsFree() bool {
	for i := range 7 {
		l, err := net.Listen("tcp", netip.AddrPortFrom(f.addr(1), f.ports.datagram+uint16(i)).String())
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

func (f *fleet) addr(last byte) netip.Addr {
	return netip.AddrFrom4([4]byte{f.net[0], f.net[1], f.net[2], last})
}

// addBalancer and addSide add a machine that isn't started yet.
func (f *fleet) addBalancer(zone string) *machine {
	n := len(f.balancers)
	m := &machine{f: f, name: fmt.Sprintf("frontend-%s-%d", zone, n+1), zone: zone, ip: f.addr(byte(10 + n)), role: "balancer"}
	f.balancers = append(f.balancers, m)
	if len(f.seeds) < 3 {
		f.seeds = append(f.seeds, m.at(f.ports.control).String())
	}
	return m
}

func (f *fleet) addSide(zone, service string) *machine {
	n := len(f.sides)
	m := &machine{f: f, name: fmt.Sprintf("side-%s-%d", zone, n+1), zone: zone, ip: f.addr(byte(60 + n)), role: "agent", service: service}
	f.sides = append(f.sides, m)
	return m
}

// boundsSection matches a section of a template that is left out if the platform's settings lack a bound.
var boundsSection = regexp.MustCompile(`(?s)\{\{#bounds\.[^}]*\}\}.*?\{\{/bounds\.[^}]*\}\}`)

// writeSettings fills in the role's template, as the platform does.
func (m *machine) writeSettings() error {
	text, err := os.ReadFile(filepath.Join(m.f.root, "platform", m.role+".json.tmpl"))
	if err != nil {
		return err
	}
	p, out := m.f.ports, boundsSection.ReplaceAllString(string(text), "")
	quoted := func(port uint16) string { return `"` + m.at(port).String() + `"` }
	for from, to := range map[string]string{
		"{{node-name|json}}":               `"` + m.name + `"`,
		"{{zone|json}}":                    `"` + m.zone + `"`,
		"{{listen.datagram-addr|json}}":    quoted(p.datagram),
		"{{listen.ready-addr|json}}":       quoted(p.ready),
		"{{listen.control|json}}":          quoted(p.control),
		"{{listen.outbound|json}}":         quoted(p.outbound),
		"{{app|json}}":                     quoted(p.app),
		"{{service|json}}":                 `"` + m.service + `"`,
		"{{ip}}":                           m.ip.String(),
		"{{internal-ports.0}}":             fmt.Sprint(p.internal),
		"{{platform.address}}":             m.f.storeAddr.String(),
		"{{heartbeat-ms}}":                 fmt.Sprint(heartbeatInterval.Milliseconds()),
		`{{#seeds}}"{{.}}"{{,}}{{/seeds}}`: `"` + strings.Join(m.f.seeds, `","`) + `"`,
	} {
		out = strings.ReplaceAll(out, from, to)
	}
	if strings.Contains(out, "{{") {
		return fmt.Errorf("%s.json.tmpl has a placeholder that isn't known here", m.role)
	}
	m.settings = filepath.Join(m.f.dir, m.name+".json")
	return os.WriteFile(m.settings, []byte(out), 0o600)
}

// start starts the machine's daemon and keeps it running.
func (m *machine) start() error {
	if err := m.writeSettings(); err != nil {
		return err
	}
	return m.launch()
}

func (m *machine) launch() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopped {
		return nil
	}
	out, err := os.OpenFile(filepath.Join(m.f.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	cmd := exec.Command(filepath.Join(m.f.root, "target", m.role), "--settings", m.settings)
	cmd.Dir, cmd.Stdout, cmd.Stderr = m.f.root, out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	m.cmd = cmd
	m.starts++
	m.f.rec.log("%s starts (%d)", m.name, m.starts)
	go func() {
		err := cmd.Wait()
		m.f.rec.log("%s has ended: %v", m.name, errText(err))
		time.Sleep(restartDelay)
		_ = m.launch()
	}()
	return nil
}

// end ends the machine's daemon for good.
func (m *machine) end() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stopped = true
	if m.cmd != nil {
		_ = m.cmd.Process.Kill()
	}
}

func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd != nil {
		m.f.rec.say("%s gets %v", m.name, s)
		_ = m.cmd.Process.Signal(s)
	}
}

// startServerOn starts the machine's server.
func (m *machine) startServer(id string, warmup time.Duration) error {
	var err error
	m.server, err = startServer(m.f.rec, serverSettings{
		id: id, service: m.service, zone: m.zone, warmup: warmup,
		app: m.at(m.f.ports.app), outbound: m.at(m.f.ports.outbound), control: m.at(m.f.ports.control),
	})
	return err
}

// start starts the whole system with its first configuration, and waits until it serves.
func (f *fleet) start(first *document, clientZone string) error {
	var err error
	if f.store, err = startStore(f.rec, f.storeAddr); err != nil {
		return err
	}
	f.store.putConfig(first)
	for _, m := range f.balancers {
		if err := m.start(); err != nil {
			return err
		}
	}
	for i, m := range f.sides {
		if err := m.start(); err != nil {
			return err
		}
		if err := m.startServer(fmt.Sprintf("i-%04d", i+1), 0); err != nil {
			return err
		}
	}
	var inZone []*machine
	for _, b := range f.balancers {
		if b.zone == clientZone {
			inZone = append(inZone, b)
		}
	}
	if f.router, err = startRouter(f.rec, f.addr(2), inZone); err != nil {
		return err
	}
	if f.clients, err = startClients(f.rec, netip.AddrPortFrom(f.addr(100), f.ports.datagram), f.router); err != nil {
		return err
	}
	// Traffic starts 10 s after the machines do.
	time.Sleep(10 * time.Second)
	if n := f.router.inRotation(); n != len(inZone) {
		return fmt.Errorf("%d of %d balancers are ready", n, len(inZone))
	}
	return nil
}

// routeAddr is an address of the platform.
func (f *fleet) routeAddr(port uint16) netip.AddrPort { return netip.AddrPortFrom(f.addr(200), port) }

func (f *fleet) serverNamed(id string) *appServer {
	for _, m := range f.sides {
		if m.server != nil && m.server.set.id == id {
			return m.server
		}
	}
	return nil
}

// end ends all processes that were started.
func (f *fleet) end(keepLogs string) {
	for _, m := range append(f.balancers, f.sides...) {
		m.end()
		if m.server != nil {
			m.server.exit("is ended")
		}
	}
	if keepLogs != "" {
		_ = exec.Command("cp", "-r", f.dir, keepLogs).Run()
	}
	_ = os.RemoveAll(f.dir)
}
