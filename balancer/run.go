package balancer

import (
	"io"

	"github.com/nutmegtrack/nutmegtrack/event"
	"github.com/nutmegtrack/nutmegtrack/process"
	"github.com/nutmegtrack/nutmegtrack/settings"
)

// Environment returns the options for a process in one environment. The settings select
// the environment by name.
type Environment func(cfg *settings.Balancer) (Options, error)

// Run runs a balancer process until it has stopped and returns its exit status. Log
// events are written to w. If environments does not contain the environment of the
// settings, as on VMs, the zero Options apply.
func Run(settingsFile string, w io.Writer, environments map[string]Environment) int {
	cfg, err := settings.LoadBalancer(settingsFile)
	if err != nil {
		return process.ReportSettings(event.NewLogger(w), err)
	}
	log := event.NewQueued(w, "name", cfg.Name)
	defer log.Close()
	var options Options
	if environment := environments[cfg.Environment]; environment != nil {
		if options, err = environment(&cfg); err != nil {
			return process.ReportSettings(log, err)
		}
	}
	return process.Run(New(cfg, options, log), log, settingsFile)
}
