package balancer

import (
	"io"

	"github.com/nutmegtrack/nutmegtrack/event"
	"github.com/nutmegtrack/nutmegtrack/process"
	"github.com/nutmegtrack/nutmegtrack/settings"
)

// Run runs a process of this daemon until it has stopped and returns its exit
// status. Log events go to w.
func Run(settingsFile string, w io.Writer) int {
	cfg, err := settings.LoadBalancer(settingsFile)
	if err != nil {
		return process.ReportSettings(event.NewLogger(w), err)
	}
	log := event.NewLogger(w, "name", cfg.Name)
	return process.Run(New(cfg, log), log)
}
