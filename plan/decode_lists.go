package plan

import "cmp"

// decodedCustomers is the list of customers with the nodes of its entries.
type decodedCustomers struct {
	list  []Customer
	nodes []node
}

func decodeCustomers(d *parsedText) decodedCustomers {
	var out decodedCustomers
	root := node{d, &d.root}
	root.members(func(name string, m node) bool {
		if name != CustomersList {
			return false
		}
		m.array(func(e node) {
			out.list = append(out.list, e.customer())
			out.nodes = append(out.nodes, e)
		})
		return true
	})
	root.require(CustomersList)
	return out
}

func (n node) customer() Customer {
	var c Customer
	n.members(func(name string, m node) bool {
		switch name {
		case "name":
			c.Name = m.string()
		case "plan":
			c.Plan = m.string()
		case "sources":
			m.array(func(s node) { c.Sources = append(c.Sources, s.prefix()) })
		case "account":
			c.Account = m.string()
		default:
			return false
		}
		return true
	})
	n.require("name", "plan", "sources")
	c.Account = cmp.Or(c.Account, c.Name)
	return c
}

// decodedPlans is the list of plans with the nodes of its entries.
type decodedPlans struct {
	root        node
	defaultPlan string
	list        []Plan
	nodes       []node
}

func decodePlans(d *parsedText) decodedPlans {
	out := decodedPlans{root: node{d, &d.root}}
	out.root.members(func(name string, m node) bool {
		switch name {
		case "default_plan":
			out.defaultPlan = m.string()
		case PlansList:
			m.array(func(e node) {
				out.list = append(out.list, e.plan())
				out.nodes = append(out.nodes, e)
			})
		default:
			return false
		}
		return true
	})
	out.root.require(PlansList)
	return out
}

func (n node) plan() Plan {
	p := Plan{Weight: defaultWeight, Services: map[string]Limits{}}
	n.members(func(name string, m node) bool {
		switch name {
		case "name":
			p.Name = m.string()
		case "weight":
			p.Weight = m.number()
		case "services":
			m.services(p.Services)
		default:
			return false
		}
		return true
	})
	n.require("name", "services")
	return p
}

func (n node) services(limits map[string]Limits) {
	n.members(func(name string, m node) bool {
		limits[name] = m.limits()
		return true
	})
}

func (n node) limits() Limits {
	var l Limits
	n.members(func(name string, m node) bool {
		switch name {
		case "connections":
			l.Connections = m.count()
		case "new_connections_per_second":
			l.NewConnectionsPerSecond = m.count()
		case "requests":
			l.Requests = m.count()
		case "guaranteed_share":
			l.GuaranteedShare = m.number()
		default:
			return false
		}
		return true
	})
	n.require("connections", "new_connections_per_second", "requests")
	return l
}
