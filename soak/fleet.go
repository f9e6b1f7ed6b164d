package soak

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/nutmegtrack/nutmegtrack/packet"
	"github.com/nutmegtrack/nutmegtrack/platform"
	"github.com/nutmegtrack/nutmegtrack/platform/standin"
)

// services lists the services of the deployment.
var services = []string{"portal", "intake"}

// vm is a VM: its daemon, the proxies before the daemon and, on an agent's VM, the server
// (the process of the upstream).
type vm struct {
	name    string
	addr    netip.Addr
	service string   // agents only
	args    []string // of the daemon
	process *process
	tcp     *tcpProxy
	udp     *udpProxy // agents only

	mu           sync.Mutex
	server       *standin.Server
	serverStarts int // number of servers started, part of a server's ID
}

// fleet is a running deployment.
type fleet struct {
	cfg        Config
	oracle     *oracle
	store      *standin.Store
	storeHTTP  *http.Server
	storeProxy *tcpProxy
	balancers  []*vm
	agents     []*vm
	fabric     *fabric
	clients    []*standin.Client
	routeLock  sync.Mutex
	version    int64
	routes     map[netip.AddrPort]string // service by address
	document   []byte                    // the operator's latest
	rng        *lockedRand
}

// lockedRand is a random number generator that is safe for concurrent use.
type lockedRand struct {
	mu  sync.Mutex
	rng *rand.Rand
}

func (r *lockedRand) IntN(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rng.IntN(n)
}

func startFleet(cfg Config, o *oracle) (f *fleet, err error) {
	f = &fleet{cfg: cfg, oracle: o, routes: map[netip.AddrPort]string{}, rng: &lockedRand{rng: rand.New(rand.NewPCG(cfg.Seed, 1))}}
	defer func() {
		if err != nil {
			f.stop()
		}
	}()
	if err := f.startStore(); err != nil {
		return f, err
	}
	for i, s := range services {
		f.routes[f.cfg.address(netRoute, i, 8443)] = s
	}
	f.putRoutes()
	for i := range cfg.Balancers {
		if err := f.addBalancer(i); err != nil {
			return f, err
		}
	}
	for i := range cfg.Upstreams * len(services) {
		if err := f.addAgent(i); err != nil {
			return f, err
		}
	}
	if f.fabric, err = startFabric(&f.cfg, f.balancers, o.took); err != nil {
		return f, err
	}
	for i := range cfg.Clients {
		c, err := standin.StartClient(f.cfg.address(netClient, i, clientPort), f.fabric.send, o)
		if err != nil {
			return f, err
		}
		f.clients = append(f.clients, c)
	}
	return f, f.startProcesses()
}

// startProcesses starts all daemons and servers at once.
func (f *fleet) startProcesses() error {
	for _, v := range f.all() {
		v.process = startProcess(f.cfg.Dir, v.name, f.oracle, f.cfg.Program, v.args...)
	}
	errs := make([]error, len(f.agents))
	var wait sync.WaitGroup
	for i, v := range f.agents {
		wait.Go(func() { errs[i] = f.startServer(v) })
	}
	wait.Wait()
	return errors.Join(errs...)
}

// all returns the VMs of all balancers and agents.
func (f *fleet) all() []*vm { return append(append([]*vm{}, f.balancers...), f.agents...) }

func (f *fleet) startStore() error {
	begun := time.Now()
	f.store = standin.NewStore(func() time.Duration { return time.Since(begun) })
	l, err := f.claimNetwork()
	if err != nil {
		return errors.Wrap(err, "soak: store")
	}
	f.storeHTTP = &http.Server{Handler: f.store, ReadHeaderTimeout: time.Second}
	go func() { _ = f.storeHTTP.Serve(l) }() // returns on Close
	f.storeProxy, err = newTCPProxy(f.cfg.address(netStore, 0, proxyPort), f.cfg.address(netStore, 0, storePort))
	return err
}

// claimNetwork listens at the address of the store in the first network, from that of the seed
// on, that no other run uses. The listener claims the network for this run.
func (f *fleet) claimNetwork() (net.Listener, error) {
	first := f.cfg.Seed % networks
	for i := range uint64(networks) {
		f.cfg.network = byte(firstNetwork + (first+i)%networks)
		l, err := net.Listen("tcp", f.cfg.address(netStore, 0, storePort).String())
		if !errors.Is(err, syscall.EADDRINUSE) {
			return l, err
		}
	}
	return nil, errors.Newf("all %d networks are in use", networks)
}

// putRoutes writes the routes to the store, as the platform's operator does.
func (f *fleet) putRoutes() {
	f.version++
	type entry map[string]any
	list := []entry{}
	for a, service := range f.routes {
		list = append(list, entry{"name": a.String(), "hostname": a.Addr().String(), "prefix": fmt.Sprintf("/%d/", a.Port()),
			"route-type": "non_idempotent", "timeout-ms": 4000, "target-latency-ms": 200, "priority": 1, "service": service})
	}
	text, err := json.Marshal(entry{"version": f.version, "routes": list, "limits": entry{"idle-timeout-ms": 12000}, "services": f.cfg.documentServices()})
	if err != nil {
		panic(err)
	}
	f.document = text
	f.store.Put(platform.ConfigKey, text)
}

// checkLogs passes the logs of the daemons to the oracle.
func (f *fleet) checkLogs() {
	for _, v := range f.all() {
		text, err := os.ReadFile(v.process.log)
		if err != nil {
			f.oracle.Failed(errors.Wrap(err, "soak: read a log"))
			continue
		}
		f.oracle.checkVersions(v.name, string(text))
	}
}

func (f *fleet) seeds() string {
	out := ""
	for i := range min(3, f.cfg.Balancers) {
		out += fmt.Sprintf("%q,", f.cfg.address(netBalancer, i, proxyPort))
	}
	return out
}

func (f *fleet) settings(name, text string) (string, error) {
	file := filepath.Join(f.cfg.Dir, name+".json")
	return file, os.WriteFile(file, []byte(text), 0o600)
}

func (f *fleet) addBalancer(i int) error {
	at := func(port int) netip.AddrPort { return f.cfg.address(netBalancer, i, port) }
	v := &vm{name: fmt.Sprintf("balancer-%d", i), addr: at(0).Addr()}
	var err error
	if v.tcp, err = newTCPProxy(at(proxyPort), at(controlPort)); err != nil {
		return err
	}
	file, err := f.settings(v.name, fmt.Sprintf(`{
		"name": %q, "failure_domain": "fd-%d", "environment": "platform", "limits": "none",
		"client_address": %q, "data_address": %q, "health_address": %q,
		"control_listen": %q, "control_advertise": %q, "seeds": [%s],
		"store": {"endpoints": ["http://%s"], "timeout_seconds": 1},
		"readers": 1, "hint_entries": 16384, "drain_seconds": 1.8, "evacuation_seconds": 5,
	}`, v.name, i%3, at(clientPort), at(internalPort), at(readyPort), at(controlPort), at(proxyPort), f.seeds(),
		f.cfg.address(netStore, 0, proxyPort)))
	if err != nil {
		return err
	}
	v.args = []string{"balancer", "--settings", file}
	f.balancers = append(f.balancers, v)
	return nil
}

func (f *fleet) addAgent(i int) error {
	at := func(port int) netip.AddrPort { return f.cfg.address(netAgent, i, port) }
	v := &vm{name: fmt.Sprintf("agent-%d", i), addr: at(0).Addr(), service: services[i%len(services)]}
	var err error
	if v.tcp, err = newTCPProxy(at(proxyPort), at(internalPort)); err != nil {
		return err
	}
	if v.udp, err = newUDPProxy(at(proxyPort), at(clientPort), f.rng.IntN); err != nil {
		return err
	}
	file, err := f.settings(v.name, fmt.Sprintf(`{
		"name": %q, "failure_domain": "fd-%d", "environment": "platform", "limits": "none",
		"data_address": %q, "data_advertise": %q, "control_listen": %q, "control_advertise": %q,
		"health_address": %q, "seeds": [%s], "service": {"name": %q},
		"upstream_sink_address": %q, "upstream_listen": %q, "reply_listen": %q,
		"heartbeat_seconds": 0.5, "settling_seconds": 4, "rebuild_seconds": 20, %s
	}`, v.name, i%3, at(clientPort), at(proxyPort), at(internalPort), at(proxyPort), at(readyPort), f.seeds(), v.service,
		at(appPort), at(announcePort), at(outboundPort), f.cfg.warmupSettings()))
	if err != nil {
		return err
	}
	v.args = []string{"agent", "--settings", file}
	f.oracle.domains[v.addr] = fmt.Sprintf("fd-%d", i%3)
	f.agents = append(f.agents, v)
	return nil
}

// startServer starts a new server on an agent's VM, unless one is running.
func (f *fleet) startServer(v *vm) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.server != nil {
		return nil
	}
	v.serverStarts++
	at := func(port int) netip.AddrPort { return netip.AddrPortFrom(v.addr, uint16(port)) }
	s, err := standin.StartServer(standin.ServerConfig{
		ID: fmt.Sprintf("%s-%d", v.name, v.serverStarts), Service: v.service, App: at(appPort), Outbound: at(outboundPort),
		Control: at(announcePort), Owns: func(a netip.AddrPort) bool { return f.serviceOf(a) == v.service }, Observer: f.oracle,
		Warmup: f.cfg.warmup(),
	})
	if err == nil {
		v.server = s
		f.oracle.started(s)
	}
	return err
}

// serviceOf returns the service of a route's address. It is derived from the last byte, so
// that it is also known for the address of a removed route.
func (f *fleet) serviceOf(a netip.AddrPort) string {
	return services[(int(a.Addr().As4()[3])-1)%len(services)]
}

// endServer ends the server on an agent's VM by a crash or an orderly exit.
func (f *fleet) endServer(v *vm, end func(*standin.Server)) {
	v.mu.Lock()
	s := v.server
	v.server = nil
	v.mu.Unlock()
	if s != nil {
		f.oracle.ended(s)
		end(s)
	}
}

func (f *fleet) stop() {
	var wait sync.WaitGroup
	for _, v := range f.all() {
		wait.Go(func() {
			if v.process != nil {
				v.process.stop()
			}
			f.endServer(v, (*standin.Server).Crash)
			if v.tcp != nil {
				v.tcp.close()
			}
			if v.udp != nil {
				v.udp.close()
			}
		})
	}
	wait.Wait()
	for _, c := range f.clients {
		c.Close()
	}
	if f.fabric != nil {
		f.fabric.close()
	}
	if f.storeProxy != nil {
		f.storeProxy.close()
	}
	if f.storeHTTP != nil {
		_ = f.storeHTTP.Close()
	}
}

// fabric forwards the packets of clients to the balancers that are ready, or to all
// balancers if fewer than half of them are ready.
type fabric struct {
	conn  *net.UDPConn
	all   []netip.AddrPort
	ready atomic.Pointer[[]netip.AddrPort]
	took  func(k packet.Key, balancer netip.Addr) // called with the balancer that gets a packet
	done  chan struct{}
}

const (
	fabricPollInterval     = 500 * time.Millisecond // interval of readiness probes
	fabricPollTimeout      = 400 * time.Millisecond
	fabricFailureThreshold = 2 // consecutive failed probes after which a balancer is not ready
)

func startFabric(cfg *Config, balancers []*vm, took func(packet.Key, netip.Addr)) (*fabric, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(cfg.address(netStore, 1, clientPort)))
	if err != nil {
		return nil, errors.Wrap(err, "soak: fabric")
	}
	fb := &fabric{conn: conn, took: took, done: make(chan struct{})}
	for _, v := range balancers {
		fb.all = append(fb.all, netip.AddrPortFrom(v.addr, clientPort))
	}
	fb.ready.Store(&fb.all)
	go fb.poll()
	return fb, nil
}

func (fb *fabric) poll() {
	missed := make([]int, len(fb.all))
	client := http.Client{Timeout: fabricPollTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		var ready []netip.AddrPort
		for i, a := range fb.all {
			response, err := client.Get(fmt.Sprintf("http://%s/ready", netip.AddrPortFrom(a.Addr(), readyPort)))
			if err == nil {
				_ = response.Body.Close()
			}
			if err != nil || response.StatusCode != http.StatusOK {
				missed[i]++
			} else {
				missed[i] = 0
			}
			if missed[i] < fabricFailureThreshold {
				ready = append(ready, a)
			}
		}
		if 2*len(ready) < len(fb.all) {
			ready = fb.all
		}
		fb.ready.Store(&ready)
		select {
		case <-time.After(fabricPollInterval):
		case <-fb.done:
			return
		}
	}
}

func (fb *fabric) send(b []byte, k packet.Key) {
	ready := *fb.ready.Load()
	to := ready[k.Hash()%uint64(len(ready))]
	fb.took(k, to.Addr())
	// Write errors are ignored: the kernel sometimes refuses a datagram to a port without a
	// listener. The packet is lost as on a real network, and the client retransmits it.
	_, _ = fb.conn.WriteToUDPAddrPort(b, to)
}

func (fb *fabric) close() {
	close(fb.done)
	_ = fb.conn.Close()
}

// kill kills the daemon, which is then restarted.
func (v *vm) kill() { v.process.signal(syscall.SIGKILL) }
