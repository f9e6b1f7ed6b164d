package demo

import (
	"encoding/json"
	"net/netip"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/tailscale/hujson"

	"github.com/nutmegtrack/nutmegtrack/examples"
	"github.com/nutmegtrack/nutmegtrack/settings"
	"github.com/nutmegtrack/nutmegtrack/standin"
)

// spec describes one deployment.
type spec struct {
	name      string
	domains   []string // failure domains
	balancers int
	services  []serviceSpec
	customers []customer // in the order of the list, without greedy
	greedy    customer   // opens more connections than its plan allows; last in the list
}

const (
	// trialPlan is the plan of the greedy customer. It allows 60 connections to one
	// service.
	trialPlan = "trial"
	// greedyFlows is the number of flows that the greedy customer tries to keep open.
	greedyFlows = 90
	// loweredConnections is the number of connections to which an edit lowers the trial
	// plan under load.
	loweredConnections = 40
)

// customer is one entry of the list of customers.
type customer struct {
	Name    string
	Plan    string
	Sources []netip.Prefix
}

type serviceSpec struct {
	name      string
	upstreams int
	addresses []netip.AddrPort
}

var specs = []spec{
	{
		name:      "kel-impact",
		domains:   []string{"lk-west-1", "lk-west-2", "lk-west-3"},
		balancers: 4,
		services:  []serviceSpec{{name: "impact-portal", upstreams: 7}, {name: "evidence-intake", upstreams: 3}},
	},
	{
		name:      "al-harthy",
		domains:   []string{"muscat-1", "muscat-2", "muscat-3"},
		balancers: 4,
		services:  []serviceSpec{{name: "jobboard", upstreams: 7}, {name: "survey-intake", upstreams: 3}},
	},
}

// Deployments returns the names of the deployments that the demo can run.
func Deployments() []string {
	var names []string
	for _, s := range specs {
		names = append(names, s.name)
	}
	return names
}

// loadSpec returns a deployment with the service addresses from its settings templates
// and the customers from its list.
func loadSpec(name string) (spec, error) {
	i := slices.IndexFunc(specs, func(s spec) bool { return s.name == name })
	if i < 0 {
		return spec{}, errors.Newf("unknown deployment %q; known are %q", name, Deployments())
	}
	s := specs[i]
	s.services = slices.Clone(s.services)
	for i := range s.services {
		if err := s.services[i].loadAddresses(s.name); err != nil {
			return s, err
		}
	}
	return s, s.loadCustomers()
}

func (s *serviceSpec) loadAddresses(deployment string) error {
	file := agentFile(deployment, s.name)
	src, err := examples.Files.ReadFile(file)
	if err != nil {
		return errors.Wrap(err, "settings template")
	}
	agent, err := settings.ParseAgent(file, src)
	if err != nil {
		return errors.Wrap(err, "settings template")
	}
	for _, e := range agent.Service.Endpoints {
		if !slices.Contains(s.addresses, e.Address) {
			s.addresses = append(s.addresses, e.Address)
		}
	}
	return nil
}

// loadCustomers reads the list of customers.
func (s *spec) loadCustomers() error {
	src, err := examples.Files.ReadFile(s.name + "/customers.json")
	if err != nil {
		return errors.Wrap(err, "list of customers")
	}
	plain, err := hujson.Standardize(src)
	if err != nil {
		return errors.Wrap(err, "list of customers")
	}
	var list struct{ Customers []customer }
	if err := json.Unmarshal(plain, &list); err != nil {
		return errors.Wrap(err, "list of customers")
	}
	last := len(list.Customers) - 1
	if last < 0 || list.Customers[last].Plan != trialPlan {
		return errors.Newf("the last customer of %s is not on plan %q", s.name, trialPlan)
	}
	s.customers, s.greedy = list.Customers[:last:last], list.Customers[last]
	return nil
}

// load returns the load that the clients of the deployment generate.
func (s *spec) load(flows int) standin.LoadConfig {
	cfg := standin.LoadConfig{Flows: flows, RampUp: rampUp}
	for _, c := range s.customers {
		cfg.Sources = append(cfg.Sources, c.Sources...)
	}
	for _, service := range s.services {
		target := standin.Target{Service: service.name, Addresses: service.addresses}
		cfg.Targets = append(cfg.Targets, target)
	}
	greedy := cfg.Targets[0]
	greedy.Greedy, greedy.Sources, greedy.Flows = true, s.greedy.Sources, greedyFlows
	cfg.Targets = append(cfg.Targets, greedy)
	return cfg
}

func balancerFile(deployment string) string { return deployment + "/balancer.json" }

func agentFile(deployment, service string) string {
	return deployment + "/agent-" + service + ".json"
}
