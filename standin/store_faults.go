package standin

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/nutmegtrack/nutmegtrack/store/etcd/wire"
)

// PathStoreFaults is the path of the endpoint that returns the active faults on GET
// and replaces them on PUT or POST, as JSON encoding of StoreFaults.
const PathStoreFaults = "/standin/faults"

// Outage is the way in which the store is unavailable.
type Outage string

const (
	OutageNone   Outage = ""
	OutageRefuse Outage = "refuse" // every call returns an error; no write takes effect
	OutageDrop   Outage = "drop"   // connections are closed without a response; no write takes effect
)

// StoreFaults are the faults that the stand-in injects. An outage ends all watches, and no
// lease expires during it. When it is over, every lease has its full TTL again, as
// after the election of a new leader.
type StoreFaults struct {
	Outage        Outage `json:"outage"`
	DelayMS       int    `json:"delay_ms"`       // delay before each call
	LoseResponses int    `json:"lose_responses"` // number of coming successful calls, other than reads and watches, whose response is lost
}

// SetFaults replaces the active faults.
func (s *StoreServer) SetFaults(f StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ended := s.faults.Outage != OutageNone && f.Outage == OutageNone
	s.faults = f
	if ended {
		s.engine.RestartLeases(s.now())
	}
	s.expireLeases()
	s.notifyWatches()
}

// Faults returns the active faults.
func (s *StoreServer) Faults() StoreFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

func (s *StoreServer) serveFaults(w http.ResponseWriter, r *http.Request) {
	switch r.Method {
	case http.MethodPut, http.MethodPost:
		var f StoreFaults
		decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBody))
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
		http.Error(w, "method must be GET, PUT or POST", http.StatusMethodNotAllowed)
		return
	}
	writeJSON(w, s.Faults())
}

// injectFaults injects the delay and the outage. It returns false if it has sent a
// response. The outage is read after the delay, so that it also affects calls that are
// waiting.
func (s *StoreServer) injectFaults(w http.ResponseWriter, r *http.Request) bool {
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
	_ = json.NewEncoder(w).Encode(v) // a write error means that the client has disconnected
}
