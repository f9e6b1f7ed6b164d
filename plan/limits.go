package plan

// CustomerLimits holds the limits of one customer at one service.
type CustomerLimits struct {
	ID     uint64 // the same as Match.ID
	Name   string // empty for the sources to which the default plan applies
	Limits Limits
}

// LimitsAt returns the limits of all customers whose plan names the service.
func (l *Lists) LimitsAt(service string) []CustomerLimits {
	plans := make(map[string]*Plan, len(l.Plans))
	for i := range l.Plans {
		plans[l.Plans[i].Name] = &l.Plans[i]
	}
	var out []CustomerLimits
	add := func(id uint64, customer, plan string) {
		if p := plans[plan]; p != nil {
			if limits, named := p.Services[service]; named {
				out = append(out, CustomerLimits{id, customer, limits})
			}
		}
	}
	for i := range l.Customers {
		c := &l.Customers[i]
		add(c.ID(), c.Name, c.Plan)
	}
	add(DefaultCustomer, "", l.DefaultPlan)
	return out
}
