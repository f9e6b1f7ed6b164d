package standin

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/nutmegtrack/nutmegtrack/store/etcd/wire"
)

// PathStoreFaults reads the faults with GET and replaces them with PUT or POST, as
// JSON in the form of Faults.
const PathStoreFaults = "/standin/faults"

// Outage says how the store fails.
type Outage string

const (
	OutageNone   Outage = ""
	OutageRefuse Outage = "refuse" // every call is answered with an error; no write takes effect
	OutageDrop   Outage = "drop"   // connections are closed without a response; no write takes effect
)

// Faults are the switches of the stand-in. During an outage watches end and leases
// do not; when it ends every lease gets its full time to live again, as after the
// election of a new leader.
type Faults struct {
	Outage        Outage `json:"outage"`
	DelayMS       int    `json:"delay_ms"`       // each call waits so long before it runs
	LoseResponses int    `json:"lose_responses"` // so many next writes take effect without a response
}

// SetFaults replaces the switches.
func (s *StoreServer) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ended := s.faults.Outage != OutageNone && f.Outage == OutageNone
	s.faults = f
	if ended {
		s.engine.RestartLeases(s.now())
	}
	s.settle()
	s.wake()
}

// Faults returns the switches.
func (s *StoreServer) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

func (s *StoreServer) serveFaults(w http.ResponseWriter, r *http.Request) {
	switch r.Method {
	case http.MethodPut, http.MethodPost:
		var f Faults
		decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequest))
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&f); err != nil {
			http.Error(w, "malformed faults: "+err.Error(), http.StatusBadRequest)
			return
		}
		if f.Outage != OutageNone && f.Outage != OutageRefuse && f.Outage != OutageDrop {
			http.Error(w, `outage must be "", "refuse" or "drop"`, http.StatusBadRequest)
			return
		}
		s.SetFaults(f)
	case http.MethodGet:
	default:
		http.Error(w, "GET, PUT or POST", http.StatusMethodNotAllowed)
		return
	}
	writeJSON(w, s.Faults())
}

// admit applies delay and outage; it reports false when it has answered. The outage
// is looked up after the delay, so a call in progress meets it too.
func (s *StoreServer) admit(w http.ResponseWriter, r *http.Request) bool {
	if delay := s.Faults().DelayMS; delay > 0 {
		select {
		case <-time.After(time.Duration(delay) * time.Millisecond):
		case <-r.Context().Done():
		}
	}
	switch s.Faults().Outage {
	case OutageDrop:
		panic(http.ErrAbortHandler)
	case OutageRefuse:
		s.respond(w, http.StatusServiceUnavailable, wire.Error{Code: wire.CodeUnavailable, Message: wire.MessageNoLeader})
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // the client may have gone
}
