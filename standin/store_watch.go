package standin

import (
	"net/http"
	"path"

	"github.com/nutmegtrack/nutmegtrack/store"
	"github.com/nutmegtrack/nutmegtrack/store/etcd/wire"
	"github.com/nutmegtrack/nutmegtrack/store/mem"
)

func (s *StoreServer) watch(w http.ResponseWriter, r *http.Request) {
	s.counts.addCall(path.Base(r.URL.Path))
	var request wire.WatchRequest
	if !s.injectFaults(w, r) || !s.decode(w, r, &request) {
		return
	}
	if request.Create == nil {
		callErr := invalidArgument("the stand-in supports only create_request")
		s.respond(w, callErr.status, callErr.Error)
		return
	}
	s.counts.watches.Add(1)
	defer s.counts.watches.Add(-1)
	s.stream(w, r, request.Create)
}

// stream confirms the watch and sends changes until the client disconnects, an outage
// begins, or the next changes have been compacted.
func (s *StoreServer) stream(w http.ResponseWriter, r *http.Request, create *wire.WatchCreate) {
	match := func(key string) bool { return mem.InRange(key, string(create.Key), string(create.RangeEnd)) }
	next, header := s.startRevision(int64(create.StartRevision))
	s.sendWatch(w, wire.WatchResponse{Header: header, Created: true})
	for {
		step := s.nextWatchStep(next, match)
		for _, message := range step.messages {
			s.sendWatch(w, message)
		}
		if step.end {
			return
		}
		next = step.next
		select {
		case <-step.changed:
		case <-r.Context().Done():
			return
		}
	}
}

// startRevision returns the first revision to send: from, or the next one if from is
// not set.
func (s *StoreServer) startRevision(from int64) (int64, wire.Header) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if from > 0 {
		return from, s.header()
	}
	return s.engine.Revision() + 1, s.header()
}

// watchStep contains the messages that a watch sends next, the revision from which
// it continues, and the channel that is closed on the next change.
type watchStep struct {
	messages []wire.WatchResponse
	next     int64
	changed  <-chan struct{}
	end      bool // the watch ends after these messages
}

func (s *StoreServer) nextWatchStep(next int64, match func(string) bool) watchStep {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || s.faults.Outage != OutageNone {
		return watchStep{end: true}
	}
	events, err := s.engine.Since(next, match)
	if err != nil {
		compacted := wire.Int64(s.engine.Compacted())
		message := wire.WatchResponse{Header: s.header(), Canceled: true, CompactRevision: compacted, CancelReason: wire.MessageCompacted}
		return watchStep{messages: []wire.WatchResponse{message}, end: true}
	}
	step := watchStep{next: max(next, s.engine.Revision()+1), changed: s.changed}
	for _, change := range events {
		step.messages = append(step.messages, wire.WatchResponse{Header: wire.Header{Revision: wire.Int64(change.Revision)}, Events: wireEvents(change.Events)})
	}
	return step
}

func wireEvents(events []store.Event) []wire.Event {
	out := make([]wire.Event, len(events))
	for i, event := range events {
		out[i].KV = keyValue(event.KV)
		if event.Deleted {
			out[i].Type = wire.EventDelete
		}
	}
	return out
}

func (s *StoreServer) sendWatch(w http.ResponseWriter, message wire.WatchResponse) {
	s.send(w, wire.Stream[wire.WatchResponse]{Result: &message})
	if f, ok := w.(http.Flusher); ok {
		f.Flush()
	}
}
