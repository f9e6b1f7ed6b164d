package process

import (
	"os"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/nutmegtrack/nutmegtrack/event"
)

// settingsPollInterval is the interval at which the settings file is checked for changes,
// so that a change takes effect without a signal.
const settingsPollInterval = 2 * time.Second

// Reloader is a daemon that can apply changed settings while it runs.
type Reloader interface {
	// Reload reads the settings file and applies the fields that can change while the
	// daemon runs. It returns the changed fields and the subset of them that takes effect
	// only at the next start. On an error, which is a finding.List, the settings stay
	// unchanged.
	Reload(file string) (changed, atNextStart []string, err error)
}

// settingsWatcher reloads the settings of a daemon when the settings file has changed.
type settingsWatcher struct {
	file     string
	log      *event.Logger
	lastHash uint64 // hash of the content at the last check; 0 if it could not be read
}

func newSettingsWatcher(file string, log *event.Logger) *settingsWatcher {
	w := &settingsWatcher{file: file, log: log}
	w.lastHash, _ = w.hash()
	return w
}

func (w *settingsWatcher) hash() (uint64, error) {
	text, err := os.ReadFile(w.file)
	if err != nil {
		return 0, err
	}
	return xxhash.Sum64(text), nil
}

// check reloads the settings if the file has changed, or unconditionally after a signal.
// If the file cannot be read or is invalid, the old settings stay in effect.
func (w *settingsWatcher) check(d Daemon, signalled bool) {
	r, ok := d.(Reloader)
	if !ok || w.file == "" {
		return
	}
	hash, err := w.hash()
	if !signalled && (err != nil || hash == w.lastHash) {
		return
	}
	w.lastHash = hash
	changed, atNextStart, err := r.Reload(w.file)
	if err != nil {
		ReportSettings(w.log, err)
		w.log.Log(event.ReloadFailed, "file", w.file)
		return
	}
	w.log.Log(event.Reloaded, "file", w.file, "signal", signalled, "changed", joinFields(changed), "next_start", joinFields(atNextStart))
}

func joinFields(fields []string) string {
	if len(fields) == 0 {
		return "none"
	}
	out := ""
	for i, f := range slices.Sorted(slices.Values(fields)) {
		if i > 0 {
			out += ","
		}
		out += f
	}
	return out
}
