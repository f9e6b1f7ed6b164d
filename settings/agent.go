package settings

import (
	"net/netip"

	"github.com/nutmegtrack/nutmegtrack/finding"
)

// Agent holds the settings of an agent.
type Agent struct {
	// Name is the upstream VM's name, unique in the deployment.
	Name string `json:"name" required:"true"`
	// FailureDomain is the failure domain of the VM.
	FailureDomain string `json:"failure_domain" required:"true"`
	// Environment is the environment that the process runs in: "vm" or "platform".
	Environment string `json:"environment" default:"vm" oneof:"vm platform"`
	// Limits selects whether customers are limited by their plans: "plans" or "none".
	Limits string `json:"limits" default:"plans" oneof:"plans none"`
	// DataAddress receives encapsulated packets from balancers and agents.
	DataAddress netip.AddrPort `json:"data_address" required:"true"`
	// DataAdvertise is the data address announced to other processes. When absent,
	// data_address is announced.
	DataAdvertise netip.AddrPort `json:"data_advertise"`
	// MetricsAddress is the address that serves counters and histograms over HTTP. When
	// absent, they are not served.
	MetricsAddress netip.AddrPort `json:"metrics_address"`
	// ControlListen is the address that the control service listens on.
	ControlListen netip.AddrPort `json:"control_listen" required:"true"`
	// ControlAdvertise is the control address announced to other processes. When
	// absent, control_listen is announced.
	ControlAdvertise netip.AddrPort `json:"control_advertise"`
	// Seeds are control addresses of balancers to register with. While there are none, the agent waits
	// for a change of its settings.
	Seeds []netip.AddrPort `json:"seeds" required:"true" empty:"allowed"`
	// Service is the service that the upstream runs.
	Service Service `json:"service" required:"true"`
	// PacketIO configures how IP packets reach the upstream.
	PacketIO PacketIO `json:"packet_io"`
	// UpstreamSinkAddress receives the IP packets delivered to the upstream
	// (packet_io.mode "udp" or environment "platform").
	UpstreamSinkAddress netip.AddrPort `json:"upstream_sink_address"`
	// ReplyListen receives IP packets sent by the upstream (packet_io.mode "udp" or
	// environment "platform").
	ReplyListen netip.AddrPort `json:"reply_listen"`
	// ReplyAddress is the address to which replies for clients are sent
	// (packet_io.mode "udp").
	ReplyAddress netip.AddrPort `json:"reply_address"`
	// UpstreamListen receives the announcements of the upstream (environment
	// "platform").
	UpstreamListen netip.AddrPort `json:"upstream_listen"`
	// HealthAddress is the address that serves the health endpoint over HTTP. When
	// absent, it is not served.
	HealthAddress netip.AddrPort `json:"health_address"`
	// HeartbeatSeconds is the interval between announcements of the upstream.
	HeartbeatSeconds Seconds `json:"heartbeat_seconds" default:"1" min:"0.01" max:"600"`
	// RebuildSeconds is the minimum time after its start for which the agent offers packets of
	// unknown flows to the upstream, to rebuild the agent's own flow table (environment
	// "platform"). It goes on for as long as the operators' routes allow flows to be idle, at most
	// for the lifetime of a flow.
	RebuildSeconds Seconds `json:"rebuild_seconds" default:"20" min:"0" max:"3600"`
	// WarmupExcess and WarmupSlack switch on the limit of requests to a cold upstream (environment
	// "platform"): more than WarmupExcess times the rate of the service in the operators' routes plus
	// WarmupSlack requests in a second violate the deployment's rules. The agent keeps to the rate itself and
	// logs an event if requests on open flows exceed the bound. Without both there is no limit.
	WarmupExcess float64 `json:"warmup_excess" default:"0" min:"0" max:"1000"`
	// WarmupSlack is described at WarmupExcess; -1 means that it is absent.
	WarmupSlack float64 `json:"warmup_slack" default:"-1" min:"-1" max:"1000000"`
	// HTTPListen is the address on which the agent accepts HTTP/1.1 connections of
	// callers. When absent, the service's flows are forwarded as a whole and not by
	// request. It must be set on all agents of a service or on none.
	HTTPListen netip.AddrPort `json:"http_listen"`
	// HTTPUpstream is the upstream's HTTP address on this VM.
	HTTPUpstream netip.AddrPort `json:"http_upstream"`
	// HTTPQueue is the maximum number of requests that wait for a slot.
	HTTPQueue int `json:"http_queue" default:"16" min:"1" max:"10000"`
	// HTTPRetentionSeconds is how long the outcome of a request with an idempotency
	// key is kept. It must be the same on all agents of a service.
	HTTPRetentionSeconds Seconds `json:"http_retention_seconds" default:"900" min:"1" max:"86400"`
	// Balance configures the placement of new flows.
	Balance Balance `json:"balance"`
	// SettlingSeconds is the maximum time for which the views of two processes are
	// expected to differ. A draining agent keeps running for at least this long.
	SettlingSeconds Seconds `json:"settling_seconds" default:"15" min:"0.1" max:"600"`
	// DrainLimitSeconds is the maximum time that a draining agent waits for open flows
	// to end.
	DrainLimitSeconds Seconds `json:"drain_limit_seconds" default:"3600" min:"0" max:"604800"`
}

// LimitsWarmup reports whether the settings switch on the limit of requests to a cold upstream.
func (a *Agent) LimitsWarmup() bool { return a.WarmupExcess > 0 && a.WarmupSlack >= 0 }

// Service describes the service that an upstream runs and the upstream's capacity.
type Service struct {
	// Name is the service's name.
	Name string `json:"name" required:"true"`
	// Endpoints are the service's addresses, the same on all its upstreams. Required
	// with environment "vm"; with environment "platform" the operators' routes document
	// states the addresses.
	Endpoints []Endpoint `json:"endpoints"`
	// Slots is the number of requests that the upstream runs concurrently.
	Slots int `json:"slots" default:"5" min:"1" max:"1000000"`
	// Connections is the number of open flows that the upstream supports.
	Connections int `json:"connections" default:"2000" min:"1" max:"10000000"`
}

// Endpoint is one address of a service.
type Endpoint struct {
	// Address is the IP address and port that clients send to.
	Address netip.AddrPort `json:"address" required:"true"`
	// Protocol is the transport protocol.
	Protocol string `json:"protocol" default:"tcp" oneof:"tcp udp"`
}

// Balance configures the placement of new flows.
type Balance struct {
	// Threshold is by how much the open flows of this agent may exceed those of the
	// next choice of a new flow, and the mean of the agents, before the flow is handed
	// off to the next choice. It is a share of the mean. Lower values give a better
	// balance and more detours.
	Threshold float64 `json:"threshold" default:"0.05" min:"0" max:"10"`
}

// LoadAgent reads the settings file of an agent. The error is a finding.List
// when the file has findings.
func LoadAgent(path string) (Agent, error) {
	var a Agent
	return a, load(path, &a)
}

// ParseAgent decodes the settings of an agent; findings report file as their source.
func ParseAgent(file string, src []byte) (Agent, error) {
	var a Agent
	return a, parse(file, src, &a)
}

func (a *Agent) check(in fileFields, found *finding.List) {
	a.PacketIO.check(in, found)
	if a.DataAddress.IsValid() && a.DataAddress.Addr().IsUnspecified() {
		in.addFinding(found, "data_address", "must not be the unspecified address, because it is announced to balancers")
	}
	checkAdvertise(in, found, a.ControlListen, a.ControlAdvertise)
	if a.HTTPListen.IsValid() && !a.HTTPUpstream.IsValid() && !in.present("http_upstream") {
		in.addFinding(found, "http_upstream", "is required with http_listen")
	}
	if a.Environment == EnvironmentPlatform {
		a.checkPlatform(in, found)
		return
	}
	if len(a.Service.Endpoints) == 0 {
		in.addFinding(found, "service.endpoints", `is required with environment "vm"`)
	}
	if a.PacketIO.Mode != ModeUDP {
		return
	}
	requireAddresses(in, found, `is required with packet_io.mode "udp"`,
		requiredAddress{"upstream_sink_address", a.UpstreamSinkAddress},
		requiredAddress{"reply_listen", a.ReplyListen},
		requiredAddress{"reply_address", a.ReplyAddress})
}

func (a *Agent) checkPlatform(in fileFields, found *finding.List) {
	requireAddresses(in, found, `is required with environment "platform"`,
		requiredAddress{"upstream_listen", a.UpstreamListen},
		requiredAddress{"upstream_sink_address", a.UpstreamSinkAddress},
		requiredAddress{"reply_listen", a.ReplyListen})
}

// requiredAddress is an address field that is required.
type requiredAddress struct {
	field string
	value netip.AddrPort
}

func requireAddresses(in fileFields, found *finding.List, message string, fields ...requiredAddress) {
	for _, f := range fields {
		if !f.value.IsValid() && !in.present(f.field) {
			in.addFinding(found, f.field, message)
		}
	}
}
