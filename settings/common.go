package settings

import (
	"net/netip"
	"time"

	"github.com/nutmegtrack/nutmegtrack/finding"
)

// Seconds is a duration in seconds, as written in settings files.
type Seconds float64

// Duration returns the value as a time.Duration.
func (s Seconds) Duration() time.Duration {
	return time.Duration(float64(s) * float64(time.Second))
}

// Values of Environment.
const (
	// EnvironmentVM uses the IP packets of the VM, an etcd store and the services
	// described in the agents' settings.
	EnvironmentVM = "vm"
	// EnvironmentPlatform uses the platform's packets, store, routes and announcements
	// of upstreams (docs/platform.md).
	EnvironmentPlatform = "platform"
)

// Values of Limits.
const (
	LimitsPlans = "plans" // customers are limited by their plans
	LimitsNone  = "none"  // no lists are read and every flow is admitted
)

// Values of PacketIO.Mode.
const (
	ModeUDP = "udp" // one raw IP packet in each UDP datagram
	ModeTUN = "tun" // a TUN device of the VM
)

// PacketIO configures how IP packets enter and leave the process.
type PacketIO struct {
	// Mode is "udp" or "tun".
	Mode string `json:"mode" default:"udp" oneof:"udp tun"`
	// Device is the name of the TUN device (mode "tun").
	Device string `json:"device"`
}

func (p *PacketIO) check(in fileFields, found *finding.List) {
	if p.Mode == ModeTUN && p.Device == "" {
		in.addFinding(found, "packet_io.device", `is required with packet_io.mode "tun"`)
	}
}

// Store configures access to the platform's key-value store.
type Store struct {
	// Endpoints are HTTP base URLs of the store. Without endpoints, the process obtains
	// all data from its peers.
	Endpoints []string `json:"endpoints"`
	// TimeoutSeconds is the timeout of one call to the store.
	TimeoutSeconds Seconds `json:"timeout_seconds" default:"2" min:"0.01" max:"60"`
}

// checkAdvertise rejects settings that would announce an address at which other
// processes cannot reach this one.
func checkAdvertise(in fileFields, found *finding.List, listen, advertise netip.AddrPort) {
	field, announced := "control_advertise", advertise
	if !advertise.IsValid() {
		field, announced = "control_listen", listen
	}
	if announced.IsValid() && announced.Addr().IsUnspecified() {
		in.addFinding(found, field, "must not be the unspecified address, because it is announced to other processes")
	}
}
