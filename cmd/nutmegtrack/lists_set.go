package main

import (
	"context"
	"net/netip"
	"strconv"
	"strings"

	"github.com/integrii/flaggy"

	"github.com/nutmegtrack/nutmegtrack/plan"
)

// editEntries applies an edit of single entries to the text of the list.
func (c *listCommand) editEntries(ctx context.Context, change func(*plan.Text) error) int {
	editor, current, err := c.read(ctx, plan.DefaultFiles)
	if err != nil {
		return c.fail(err)
	}
	return c.apply(ctx, editor, current, func(d plan.Documents) (plan.Documents, error) {
		text, err := plan.NewText(c.list, c.document(d))
		if err != nil {
			return d, err
		}
		if err := change(text); err != nil {
			return d, err
		}
		return c.replace(d, text.Bytes()), nil
	})
}

func newCustomersSet(c *listCommand) command {
	sub := flaggy.NewSubcommand("set")
	sub.Description = "adds a customer or changes the given fields"
	c.editOptions(sub)
	var name, onPlan string
	var sources []string
	sub.AddPositionalValue(&name, "NAME", 1, true, "the customer")
	sub.String(&onPlan, "", "plan", "the customer's plan")
	sub.StringSlice(&sources, "", "source", "source prefixes, which replace the previous ones; may be repeated or separated by commas")
	return command{sub: sub, run: c.run(func(ctx context.Context) int {
		if onPlan == "" && len(sources) == 0 {
			return c.fail(badInput("nothing to set: use --plan or --source"))
		}
		split := strings.FieldsFunc(strings.Join(sources, ","), func(r rune) bool { return r == ',' })
		return c.editEntries(ctx, func(t *plan.Text) error { return setCustomer(t, name, onPlan, split) })
	})}
}

func setCustomer(t *plan.Text, name, onPlan string, sources []string) error {
	if onPlan != "" {
		if err := t.Set(name, onPlan, "plan"); err != nil {
			return err
		}
	}
	for _, source := range sources {
		if _, err := netip.ParsePrefix(source); err != nil {
			return badInput("--source %q is not a prefix such as 10.0.0.0/16", source)
		}
	}
	if len(sources) == 0 {
		return nil
	}
	return t.Set(name, sources, "sources")
}

// newRemove returns `remove`, which removes an entry.
func newRemove(c *listCommand) command {
	sub := flaggy.NewSubcommand("remove")
	sub.Description = "removes an entry"
	c.editOptions(sub)
	var name string
	sub.AddPositionalValue(&name, "NAME", 1, true, "the entry")
	return command{sub: sub, run: c.run(func(ctx context.Context) int {
		return c.editEntries(ctx, func(t *plan.Text) error { return t.Remove(name) })
	})}
}

// planOptions are the fields of a plan that `plans set` can change; "" means not given.
type planOptions struct {
	weight, service                    string
	connections, rate, requests, share string
	isDefault                          bool
}

func newPlansSet(c *listCommand) command {
	sub := flaggy.NewSubcommand("set")
	sub.Description = "adds a plan or changes the given fields"
	c.editOptions(sub)
	var name string
	var o planOptions
	sub.AddPositionalValue(&name, "NAME", 1, true, "the plan")
	sub.String(&o.weight, "", "weight", "weight of the plan in sharing the capacity beyond the guarantees")
	sub.String(&o.service, "", "service", "the service to which the following limits apply")
	sub.String(&o.connections, "", "connections", "maximum number of concurrent connections")
	sub.String(&o.rate, "", "new-connections-per-second", "maximum number of new connections per second")
	sub.String(&o.requests, "", "requests", "maximum number of concurrent requests")
	sub.String(&o.share, "", "guaranteed-share", "guaranteed share of the service's capacity, 0 to 1")
	sub.Bool(&o.isDefault, "", "default", "make it the default plan, for sources that belong to no customer")
	return command{sub: sub, run: c.run(func(ctx context.Context) int {
		if err := o.check(); err != nil {
			return c.fail(err)
		}
		return c.editEntries(ctx, func(t *plan.Text) error { return o.set(t, name) })
	})}
}

// limits returns the given limits of a service by field name.
func (o planOptions) limits() map[string]string {
	given := map[string]string{
		"connections":                o.connections,
		"new_connections_per_second": o.rate,
		"requests":                   o.requests,
		"guaranteed_share":           o.share,
	}
	for field, value := range given {
		if value == "" {
			delete(given, field)
		}
	}
	return given
}

func (o planOptions) check() error {
	limits := o.limits()
	if o.service == "" && len(limits) > 0 {
		return badInput("limits need --service")
	}
	for field, value := range limits {
		if _, err := strconv.ParseFloat(value, 64); err != nil {
			return badInput("%s: %q is not a number", field, value)
		}
	}
	if _, err := strconv.ParseFloat(o.weight, 64); o.weight != "" && err != nil {
		return badInput("weight: %q is not a number", o.weight)
	}
	if o.weight == "" && o.service == "" && !o.isDefault {
		return badInput("nothing to set: use --weight, --service or --default")
	}
	return nil
}

func (o planOptions) set(t *plan.Text, name string) error {
	if !t.Has(name) {
		if err := t.Set(name, struct{}{}, "services"); err != nil {
			return err
		}
	}
	if o.weight != "" {
		if err := t.Set(name, number(o.weight), "weight"); err != nil {
			return err
		}
	}
	for field, value := range o.limits() {
		if err := t.Set(name, number(value), "services", o.service, field); err != nil {
			return err
		}
	}
	if o.isDefault {
		return t.SetRoot("default_plan", name)
	}
	return nil
}

// number returns the value of a number that has passed planOptions.check.
func number(text string) float64 {
	v, _ := strconv.ParseFloat(text, 64)
	return v
}

func newPlansRemove(c *listCommand) command {
	sub := flaggy.NewSubcommand("remove")
	sub.Description = "removes a plan, one of its services, or the default plan setting"
	c.editOptions(sub)
	var name, service string
	var isDefault bool
	sub.AddPositionalValue(&name, "NAME", 1, true, "the plan")
	sub.String(&service, "", "service", "remove only this service from the plan")
	sub.Bool(&isDefault, "", "default", "keep the plan and remove the default plan setting: sources that belong to no customer are refused")
	return command{sub: sub, run: c.run(func(ctx context.Context) int {
		return c.editEntries(ctx, func(t *plan.Text) error {
			switch {
			case service != "":
				return t.RemoveField(name, "services", service)
			case isDefault:
				return t.SetRoot("default_plan", "")
			}
			return t.Remove(name)
		})
	})}
}
