package balancer

import (
	"slices"
	"time"

	"github.com/nutmegtrack/nutmegtrack/member"
	"github.com/nutmegtrack/nutmegtrack/settings"
)

// Reload implements process.Reloader. Only the seeds can be changed while the balancer
// runs; the other changed fields are also returned in waiting.
func (b *Balancer) Reload(file string) (changed, waiting []string, err error) {
	cfg, err := settings.LoadBalancer(file)
	if err != nil {
		return nil, nil, err
	}
	changed = settings.Differences(&b.currentCfg, &cfg)
	b.currentCfg.Seeds = cfg.Seeds
	b.members.Do(func(_ time.Duration, n *member.Node) { n.SetSeeds(cfg.Seeds) })
	waiting = slices.DeleteFunc(slices.Clone(changed), func(field string) bool { return field == "seeds" })
	return changed, waiting, nil
}
