package trace

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Window is a time span of a day with the requests that began in it.
type Window struct {
	Start    time.Duration // since the start of traffic
	Requests int
	InTime   int     // answered within their latency objective
	Late     int     // answered later
	Failed   int     // not answered
	Credit   float64 // credit earned as a share of the credit owed
}

// Loss is a window that has lost credit, with what the processes logged meanwhile.
type Loss struct {
	Window
	// Causes holds the number of flows that an event concerns, by cause. A flow counts once for each
	// cause; a flow may have several.
	Causes map[string]int
	// Starts is the number of processes that started.
	Starts int
	// Dropped is the number of lines about flows that the processes did not log. If it is not small
	// beside Causes, the log is too incomplete to compare them.
	Dropped int
}

const (
	// minLoss is the share of credit from which on a window is reported.
	minLoss = 0.01
	// longWait is the wait for a slot from which on a flow counts as having waited.
	longWait = 0.1 // seconds
)

// Losses returns the windows that have lost credit, in order. The records are those of all processes;
// start is the start of traffic.
func Losses(windows []Window, records []Record, start time.Time) (out []Loss) {
	for i, w := range windows {
		if w.Requests == 0 || 1-w.Credit < minLoss {
			continue
		}
		from, to := start.Add(w.Start), start.Add(w.Start).Add(windowLength(windows, i))
		l := Loss{Window: w, Causes: make(map[string]int)}
		seen := make(map[string]bool)
		for j := range records {
			r := &records[j]
			if !r.Time.Before(from) && r.Time.Before(to) {
				l.add(r, seen)
			}
		}
		out = append(out, l)
	}
	return out
}

// windowLength returns the time from the start of a window to that of the next. The last one is taken
// to be as long as the one before it.
func windowLength(windows []Window, i int) time.Duration {
	if i+1 < len(windows) {
		return windows[i+1].Start - windows[i].Start
	}
	if i > 0 {
		return windows[i].Start - windows[i-1].Start
	}
	return time.Second
}

func (l *Loss) add(r *Record, seen map[string]bool) {
	switch r.Event {
	case startEvent:
		l.Starts++
	case "1009": // log lines dropped
		n, _ := strconv.Atoi(r.Value("flow_lines"))
		l.Dropped += n
	}
	cause := causeOf(r)
	if key := cause + " " + r.Flow; cause != "" && !seen[key] {
		seen[key] = true
		l.Causes[cause]++
	}
}

// causeOf returns why the event delays a flow or prevents its service; empty if it does not.
func causeOf(r *Record) string {
	if r.Flow == "" {
		return ""
	}
	switch r.Event {
	case "1801": // flow not placed
		return "not placed: " + r.Value("reason")
	case "1802": // flow reset for lack of a route
		return "reset: " + r.Value("reason")
	case "1810": // flow delivered
		if waited, err := strconv.ParseFloat(r.Value("waited"), 64); err == nil && waited >= longWait {
			return "waited for a slot"
		}
		if n := r.Value("copy"); n != "" && n != "0" {
			return "opened by a late copy"
		}
	case "1813": // flow refused
		return "refused"
	case "1814": // flow reset
		return "upstream lost"
	case "1815": // packet of an unknown flow
		if strings.HasSuffix(r.Value("outcome"), "dropped") { // also "returned by the upstream and dropped"
			return "packet dropped: " + r.Value("reason")
		}
	}
	return ""
}

// Write prints a loss: the window and, most frequent first, its causes.
func (l *Loss) Write(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "%6.1f s: credit %.3f; of %d requests %d in time, %d late, %d failed; %d processes started, %d lines not logged\n",
		l.Start.Seconds(), l.Credit, l.Requests, l.InTime, l.Late, l.Failed, l.Starts, l.Dropped)
	causes := slices.Sorted(maps.Keys(l.Causes))
	slices.SortStableFunc(causes, func(a, b string) int { return l.Causes[b] - l.Causes[a] })
	for _, c := range causes {
		fmt.Fprintf(&b, "          %5d flows  %s\n", l.Causes[c], c)
	}
	_, err := io.WriteString(w, b.String())
	return err
}
