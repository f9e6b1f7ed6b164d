// Package trace reads the collected logs of balancers and agents and prints the history of
// one flow in order of time: what each process did with it, and the state that the process
// had logged by then.
package trace

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
)

// Record is one line of a log.
type Record struct {
	Time    time.Time
	Process string // value of the key name
	Event   string // value of the key event, a number
	Text    string // value of the key msg
	Flow    string // value of the key flow; empty if the line is not about a single flow
	Pairs   []Pair // all other pairs except level, in order
}

// Pair is one key with its value.
type Pair struct{ Key, Value string }

// maxLineBytes is the maximum length of a line in bytes.
const maxLineBytes = 1 << 20

// Read returns the records of a log. A line may have any text before its first level=.
// Blank lines are ignored. Lines without level, ts, name or event, and lines that cannot
// be parsed, are skipped and counted.
func Read(r io.Reader) (records []Record, skipped int, err error) {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		if record, ok := parse(lines.Text()); ok {
			records = append(records, record)
		} else if strings.TrimSpace(lines.Text()) != "" {
			skipped++
		}
	}
	return records, skipped, lines.Err()
}

func parse(line string) (r Record, ok bool) {
	start := strings.Index(line, "level=")
	if start < 0 {
		return r, false
	}
	d := logfmt.NewDecoder(strings.NewReader(line[start:]))
	if !d.ScanRecord() {
		return r, false
	}
	for d.ScanKeyval() {
		key, value := string(d.Key()), string(d.Value())
		switch key {
		case "level":
		case "ts":
			r.Time, _ = time.Parse(time.RFC3339Nano, value)
		case "name":
			r.Process = value
		case "event":
			r.Event = value
		case "msg":
			r.Text = value
		case "flow":
			r.Flow = value
		default:
			r.Pairs = append(r.Pairs, Pair{key, value})
		}
	}
	return r, d.Err() == nil && !r.Time.IsZero() && r.Process != "" && r.Event != ""
}

// Value returns the value of a key in Pairs, or "" if Pairs does not have it.
func (r *Record) Value(key string) string {
	for _, p := range r.Pairs {
		if p.Key == key {
			return p.Value
		}
	}
	return ""
}

// History is the logged history of one flow.
type History struct {
	Flow  string
	Steps []Step
}

// Step is one log line about the flow, with the state that its process had logged by then.
type Step struct {
	Record
	State []Record // oldest first
}

// startEvent is the event that a process logs when it starts.
const startEvent = "1000"

// stateEventKeys lists the events that log the state of a process or its view of other
// processes, with the key that identifies what the state belongs to: a later line replaces
// an earlier one of the same event with the same value of that key. With an empty key, it
// replaces any earlier one of the same event.
var stateEventKeys = map[string]string{
	startEvent: "", "1001": "", "1007": "", // started, draining, settings reloaded
	"1200": "upstream",                    // upstream state changed
	"1300": "", "1302": "key", "1310": "", // lists active, store call failed, routes active
	"1701": "", "1703": "", // local upstream state changed, upstream probed
}

// Histories returns the histories of the flows whose identifier equals the query, or whose
// client's address does, with or without the port, in the order of their first lines.
func Histories(records []Record, query string) []History {
	sorted := slices.Clone(records)
	slices.SortStableFunc(sorted, func(a, b Record) int { return a.Time.Compare(b.Time) })
	states := make(map[string]map[string]Record) // by process, then by event and value of its key
	histories := make(map[string]*History)
	var order []string
	for _, r := range sorted {
		if key, ok := stateEventKeys[r.Event]; ok {
			// A restarted process has lost its state.
			if states[r.Process] == nil || r.Event == startEvent {
				states[r.Process] = make(map[string]Record)
			}
			states[r.Process][r.Event+" "+r.Value(key)] = r
		}
		if r.Flow == "" || !matches(r.Flow, query) {
			continue
		}
		if histories[r.Flow] == nil {
			histories[r.Flow] = &History{Flow: r.Flow}
			order = append(order, r.Flow)
		}
		h := histories[r.Flow]
		h.Steps = append(h.Steps, Step{Record: r, State: relevantState(&r, states[r.Process])})
	}
	out := make([]History, len(order))
	for i, flow := range order {
		out[i] = *histories[flow]
	}
	return out
}

// matches reports whether the query is the flow's identifier, which has the form
// client:port>service:port, or its client's address, with or without the port.
func matches(flow, query string) bool {
	return flow == query || strings.HasPrefix(flow, query+">") || strings.HasPrefix(flow, query+":")
}

// relevantState returns the logged state of the process that logged the record. It omits
// the lines of event 1200 that report an upstream as ready, except those of an agent about
// its own upstream, which has the agent's name.
func relevantState(record *Record, states map[string]Record) (out []Record) {
	for _, r := range states {
		if r.Event == "1200" && r.Value("state") == "ready" && r.Value("upstream") != record.Process {
			continue
		}
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b Record) int { return cmp.Or(a.Time.Compare(b.Time), strings.Compare(a.Event, b.Event)) })
	return out
}

// Write prints a history: each step, followed by the state lines of its process that were
// not printed with an earlier step. The time printed after "believed for" is the age of
// the state line.
func (h *History) Write(w io.Writer) error {
	if _, err := fmt.Fprintf(w, "flow %s\n", h.Flow); err != nil {
		return err
	}
	printed := make(map[string]bool)
	for i := range h.Steps {
		step := &h.Steps[i]
		if _, err := fmt.Fprintf(w, "%s  %-24s %s %s%s\n", formatTime(step.Time), step.Process, step.Event, step.Text, formatPairs(&step.Record)); err != nil {
			return err
		}
		for j := range step.State {
			line := &step.State[j]
			id := line.Process + line.Time.String() + line.Event + line.Value("upstream")
			if printed[id] {
				continue
			}
			printed[id] = true
			age := step.Time.Sub(line.Time).Round(time.Millisecond)
			if _, err := fmt.Fprintf(w, "    believed for %s: %s %s%s\n", age, line.Event, line.Text, formatPairs(line)); err != nil {
				return err
			}
		}
	}
	return nil
}

func formatTime(t time.Time) string { return t.Format("15:04:05.000") }

func formatPairs(r *Record) string {
	var b strings.Builder
	for _, p := range r.Pairs {
		fmt.Fprintf(&b, " %s=%s", p.Key, p.Value)
	}
	return b.String()
}
