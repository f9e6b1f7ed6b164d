package demo

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/nutmegtrack/nutmegtrack/standin"
)

// startPlatform starts the stand-ins for the store and the fabric.
func (f *fleet) startPlatform(ctx context.Context) error {
	addrs, err := f.ports.nextPorts(5)
	if err != nil {
		return err
	}
	f.storeAddr = addrs[0]
	f.fabric = fabricAddrs{packets: addrs[1], control: addrs[2]}
	f.clientControl, f.replyAddr = addrs[3], addrs[4]
	store, err := f.startMonitored("store", "standin", "store", "--listen", f.storeAddr.String())
	if err != nil {
		return err
	}
	fabric, err := f.startMonitored("fabric", "standin", "fabric",
		"--listen", f.fabric.packets.String(),
		"--control", f.fabric.control.String(),
		"--seed", f.randomSeed())
	if err != nil {
		return err
	}
	if err := f.waitForHTTP(ctx, store, f.storeAddr, standin.PathStoreCounts); err != nil {
		return err
	}
	return f.waitForHTTP(ctx, fabric, f.fabric.control, "/report")
}

func (f *fleet) randomSeed() string { return strconv.FormatUint(f.cfg.Seed, 10) }

// startLoad starts the client process.
func (f *fleet) startLoad(ctx context.Context) error {
	load, err := json.Marshal(f.spec.load(f.cfg.Flows))
	if err != nil {
		return errors.Wrap(err, "load file")
	}
	path := filepath.Join(f.dir, "load.json")
	if err := os.WriteFile(path, load, 0o600); err != nil {
		return errors.Wrap(err, "load file")
	}
	p, err := f.startMonitored("client", "standin", "client",
		"--listen", f.replyAddr.String(),
		"--fabric", f.fabric.packets.String(),
		"--control", f.clientControl.String(),
		"--load", path,
		"--seed", f.randomSeed())
	if err != nil {
		return err
	}
	return f.waitForHTTP(ctx, p, f.clientControl, "/report")
}

// setStoreFaults replaces the injected faults of the store.
func (f *fleet) setStoreFaults(ctx context.Context, faults standin.StoreFaults) error {
	return sendJSON(ctx, http.MethodPut, f.storeAddr, standin.PathStoreFaults, faults)
}

// updateFabricBalancers sends to the fabric the list of balancers that have not completed
// a graceful shutdown.
func (f *fleet) updateFabricBalancers(ctx context.Context) error {
	var list []standin.FabricBalancer
	f.mu.Lock()
	for _, b := range f.balancers {
		if !b.exited {
			list = append(list, standin.FabricBalancer{
				Name: b.name, Data: b.data, Health: "http://" + b.health.String() + "/",
			})
		}
	}
	f.mu.Unlock()
	return sendJSON(ctx, http.MethodPut, f.fabric.control, "/balancers", list)
}

// addRoute makes the relay forward the advertised control address of a daemon to the
// address that the daemon listens on.
func (f *fleet) addRoute(ctx context.Context, name string, advertise, target netip.AddrPort) error {
	route := standin.RelayedDaemon{Name: name, Advertise: advertise, Target: target, Source: target.Addr()}
	if err := sendJSON(ctx, http.MethodPost, f.fabric.control, "/relay/routes", route); err != nil {
		return err
	}
	return f.updateRelayPartitions(ctx)
}
