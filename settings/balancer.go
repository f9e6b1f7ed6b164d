package settings

import (
	"net/netip"

	"github.com/nutmegtrack/nutmegtrack/finding"
)

// Balancer holds the settings of a balancer.
type Balancer struct {
	// Name is the VM's name, unique in the deployment.
	Name string `json:"name" required:"true"`
	// FailureDomain is the failure domain of the VM.
	FailureDomain string `json:"failure_domain" required:"true"`
	// Environment is the environment that the process runs in: "vm" or "platform".
	Environment string `json:"environment" default:"vm" oneof:"vm platform"`
	// Limits selects whether customers are limited by their plans: "plans" or "none".
	Limits string `json:"limits" default:"plans" oneof:"plans none"`
	// ClientAddress receives the packets of clients where these are not sent to
	// DataAddress (environment "platform").
	ClientAddress netip.AddrPort `json:"client_address"`
	// DataAddress receives hints from agents and IP packets from the fabric, the
	// platform's network that distributes the packets of clients to the balancers.
	DataAddress netip.AddrPort `json:"data_address" required:"true"`
	// HealthAddress is the address that serves the health endpoint over HTTP.
	HealthAddress netip.AddrPort `json:"health_address" required:"true"`
	// MetricsAddress is the address that serves counters and histograms over HTTP. When
	// absent, they are not served.
	MetricsAddress netip.AddrPort `json:"metrics_address"`
	// ControlListen is the address that the control service listens on.
	ControlListen netip.AddrPort `json:"control_listen" required:"true"`
	// ControlAdvertise is the control address announced to other processes. When
	// absent, control_listen is announced.
	ControlAdvertise netip.AddrPort `json:"control_advertise"`
	// Seeds are control addresses of balancers from which the process obtains the
	// membership.
	Seeds []netip.AddrPort `json:"seeds"`
	// Store configures access to the platform's key-value store.
	Store Store `json:"store"`
	// PacketIO configures where IP packets come from.
	PacketIO PacketIO `json:"packet_io"`
	// Readers is the number of goroutines that read and route packets.
	Readers int `json:"readers" default:"2" min:"1" max:"64"`
	// HintEntries is the capacity of the flow hint table, which all readers share.
	HintEntries int `json:"hint_entries" default:"262144" min:"1024" max:"16777216"`
	// LocalAboveBytes is a threshold for the mean number of bytes that clients send in a
	// flow of a service. From it on, the service's new flows are placed in the balancer's
	// own failure domain; 0 disables this. The digest entry and the detours of such an
	// upload cost about 1 KB between failure domains.
	LocalAboveBytes int `json:"local_above_bytes" default:"0" min:"0" max:"1073741824"`
	// DrainSeconds is how long a stopping balancer continues to forward packets. The
	// fabric probes the health address twice a second and stops sending packets after two
	// failed probes.
	DrainSeconds Seconds `json:"drain_seconds" default:"3" min:"0" max:"600"`
	// EvacuationSeconds is the time within which an operator's order to evacuate a failure domain must be in
	// force, by which it is only switched on: if it is not 0, the balancer reads the orders with the
	// operators' routes, and they reach all processes within about 3 s.
	EvacuationSeconds Seconds `json:"evacuation_seconds" default:"0" min:"0" max:"86400"`
}

// LoadBalancer reads the settings file of a balancer. The error is a
// finding.List when the file has findings.
func LoadBalancer(path string) (Balancer, error) {
	var b Balancer
	return b, load(path, &b)
}

// ParseBalancer decodes the settings of a balancer; findings report file as their
// source.
func ParseBalancer(file string, src []byte) (Balancer, error) {
	var b Balancer
	return b, parse(file, src, &b)
}

func (b *Balancer) check(in fileFields, found *finding.List) {
	b.PacketIO.check(in, found)
	if b.Environment == EnvironmentPlatform && !b.ClientAddress.IsValid() && !in.present("client_address") {
		in.addFinding(found, "client_address", `is required with environment "platform"`)
	}
	if b.DataAddress.IsValid() && b.DataAddress.Addr().IsUnspecified() {
		// Agents send hints to this address, so it must identify the VM.
		in.addFinding(found, "data_address", "must not be the unspecified address, because it is announced to agents")
	}
	if b.EvacuationSeconds > 0 && b.Environment != EnvironmentPlatform {
		in.addFinding(found, "evacuation_seconds", `requires environment "platform", whose store has the orders`)
	}
	checkAdvertise(in, found, b.ControlListen, b.ControlAdvertise)
}
