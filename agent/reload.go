package agent

import (
	"net/netip"
	"slices"
	"time"

	"github.com/nutmegtrack/nutmegtrack/event"
	"github.com/nutmegtrack/nutmegtrack/member"
	"github.com/nutmegtrack/nutmegtrack/settings"
)

// warnWithoutSeeds logs that the agent has no balancer to register with, as while all balancers are away.
func (a *Agent) warnWithoutSeeds(seeds []netip.AddrPort) {
	if len(seeds) == 0 {
		a.log.Log(event.NoSeeds)
	}
}

// Reload implements process.Reloader. Only seeds change while the agent runs.
func (a *Agent) Reload(file string) (changed, waiting []string, err error) {
	cfg, err := settings.LoadAgent(file)
	if err != nil {
		return nil, nil, err
	}
	changed = settings.Differences(&a.currentCfg, &cfg)
	a.currentCfg.Seeds = cfg.Seeds
	a.warnWithoutSeeds(cfg.Seeds)
	a.members.Do(func(_ time.Duration, n *member.Announcer) { n.SetSeeds(cfg.Seeds) })
	waiting = slices.DeleteFunc(slices.Clone(changed), func(field string) bool { return field == "seeds" })
	return changed, waiting, nil
}
