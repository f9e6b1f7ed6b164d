// Command harness2 runs the scripted cases of the second review.
package main

import (
	"fmt"
	"net/netip"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// trouble says that the disruption of the case happens.
var trouble = os.Getenv("TROUBLE") != "0"

var route1 = netip.MustParseAddrPort("198.18.0.1:8443")

// cases are the scripted cases by name.
var cases = map[string]func(*fleet) error{"clock": clockCase, "split": splitCase, "again": againCase, "moved": movedCase,
	"witness": witnessCase}

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness2 CASE DIRECTORY")
		return 2
	}
	rec, err := newRecord(args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	f, err := newFleet(rec)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-interrupted
		f.stop()
		os.Exit(2)
	}()
	if err := cases[args[0]](f); err != nil {
		f.stop()
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return 2
	}
	f.watch.check()
	f.stop()
	return rec.finish()
}

// startAll starts all machines and waits until the clients' balancers are in rotation and all are in touch.
func (f *fleet) startAll() error {
	for _, m := range f.all() {
		if err := m.start(0); err != nil {
			return err
		}
	}
	for i, z := range zones {
		c, err := startClient(f, z, i)
		if err != nil {
			return err
		}
		f.clients = append(f.clients, c)
	}
	time.Sleep(6 * time.Second)
	return nil
}

// openFlows opens flows from all clients and sends one request on each. It returns the flows that were answered.
func (f *fleet) openFlows(n int, tag string) []*clientFlow {
	var mu sync.Mutex
	var out []*clientFlow
	var wait sync.WaitGroup
	for i := range n {
		wait.Go(func() {
			flow := f.clients[i%len(f.clients)].open(route1)
			if flow == nil {
				f.rec.write("a flow did not open")
				return
			}
			if flow.request(fmt.Sprintf("%s-%d", tag, i), 3*time.Second) == "answered" {
				mu.Lock()
				out = append(out, flow)
				mu.Unlock()
			}
		})
		time.Sleep(5 * time.Millisecond)
	}
	wait.Wait()
	return out
}

// useFlows sends one request on each flow, at times spread evenly, and returns the number of answers.
func useFlows(flows []*clientFlow, tag string, spread time.Duration) (answered int) {
	var mu sync.Mutex
	var wait sync.WaitGroup
	for i, flow := range flows {
		wait.Go(func() {
			time.Sleep(spread * time.Duration(i) / time.Duration(len(flows)))
			if flow.request(fmt.Sprintf("%s-%d", tag, i), 3*time.Second) == "answered" {
				mu.Lock()
				answered++
				mu.Unlock()
			}
		})
	}
	wait.Wait()
	return answered
}

// kill kills the daemons of some machines at once.
func (f *fleet) kill(machines []*machine) {
	for _, m := range machines {
		f.rec.write("the process on %s is killed", m.name)
		m.kill()
	}
}
