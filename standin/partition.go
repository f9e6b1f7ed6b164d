package standin

import (
	"net/http"
	"slices"
	"strings"
)

// Partition blocks control connections between the daemons in A and the daemons in
// B, in both directions. If A is empty, the daemons in B are cut off from all others,
// including callers whose source address belongs to no daemon or to several.
type Partition struct {
	A []string `json:"a"`
	B []string `json:"b"`
}

func (p Partition) separates(caller, daemon string) bool {
	if len(p.A) == 0 {
		return slices.Contains(p.B, daemon) || slices.Contains(p.B, caller)
	}
	return slices.Contains(p.A, caller) && slices.Contains(p.B, daemon) ||
		slices.Contains(p.B, caller) && slices.Contains(p.A, daemon)
}

func (r *Relay) isPartitioned(caller, daemon string) bool {
	return slices.ContainsFunc(r.partitions, func(p Partition) bool { return p.separates(caller, daemon) })
}

// SetPartitions replaces the active partitions. Existing connections across a
// partition are closed, and new ones are refused.
func (r *Relay) SetPartitions(partitions []Partition) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.partitions = partitions
	for c := range r.conns {
		if r.isPartitioned(c.caller, c.entry.Name) {
			c.entry.counts.Cut++
			c.close()
		}
	}
}

// Report returns the counters of all daemons, sorted by name.
func (r *Relay) Report() []RelayedDaemonReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]RelayedDaemonReport, 0, len(r.entries))
	for _, entry := range r.entries {
		list = append(list, entry.counts)
	}
	slices.SortFunc(list, func(a, b RelayedDaemonReport) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// Handler returns the control endpoint: GET /report, POST /routes with a
// RelayedDaemon, DELETE /routes/NAME, and PUT /partitions with a list of Partition.
func (r *Relay) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /report", func(w http.ResponseWriter, _ *http.Request) {
		answerJSON(w, r.Report())
	})
	mux.HandleFunc("POST /routes", r.serveAdd)
	mux.HandleFunc("DELETE /routes/{name}", func(w http.ResponseWriter, q *http.Request) {
		r.Remove(q.PathValue("name"))
		answerJSON(w, struct{}{})
	})
	mux.HandleFunc("PUT /partitions", func(w http.ResponseWriter, q *http.Request) {
		var partitions []Partition
		if readJSON(w, q, &partitions) {
			r.SetPartitions(partitions)
			answerJSON(w, struct{}{})
		}
	})
	return mux
}

func (r *Relay) serveAdd(w http.ResponseWriter, q *http.Request) {
	var d RelayedDaemon
	if !readJSON(w, q, &d) {
		return
	}
	if err := r.Add(d); err != nil {
		http.Error(w, err.Error(), http.StatusConflict)
		return
	}
	answerJSON(w, struct{}{})
}
