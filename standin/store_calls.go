package standin

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"path"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/nutmegtrack/nutmegtrack/store"
	"github.com/nutmegtrack/nutmegtrack/store/etcd/wire"
	"github.com/nutmegtrack/nutmegtrack/store/mem"
)

// callKind is whether a call reads or writes the store. Lease calls and compactions are
// writes.
type callKind bool

const (
	readCall  callKind = false
	writeCall callKind = true
)

// callError is an error response with its HTTP status.
type callError struct {
	status int
	wire.Error
}

func invalidArgument(message string) *callError {
	return &callError{http.StatusBadRequest, wire.Error{Code: wire.CodeInvalidArgument, Message: message}}
}

// handle returns a handler that decodes the request, runs the call under the lock
// and sends the response, with the active faults injected.
func handle[Request, Response any](s *StoreServer, k callKind, run func(Request) (Response, *callError)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.counts.addCall(path.Base(r.URL.Path))
		var request Request
		if !s.injectFaults(w, r) || !s.decode(w, r, &request) {
			return
		}
		response, callErr, dropResponse := runLocked(s, k, request, run)
		if dropResponse {
			panic(http.ErrAbortHandler) // closes the connection without a response
		}
		if callErr != nil {
			s.respond(w, callErr.status, callErr.Error)
			return
		}
		s.respond(w, http.StatusOK, response)
	}
}

// runLocked runs a call under the lock. The last result is true if the response must
// be dropped.
func runLocked[Request, Response any](s *StoreServer, k callKind, request Request, run func(Request) (Response, *callError)) (Response, *callError, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	before := s.engine.Revision()
	response, callErr := run(request)
	s.expireLeases()
	if s.engine.Revision() != before {
		s.notifyWatches()
	}
	dropResponse := k == writeCall && callErr == nil && s.faults.LoseResponses > 0
	if dropResponse {
		s.faults.LoseResponses--
	}
	return response, callErr, dropResponse
}

func (s *StoreServer) decode(w http.ResponseWriter, r *http.Request, request any) bool {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBody))
	s.counts.bytesIn.Add(int64(len(body)))
	if err == nil {
		err = json.NewDecoder(bytes.NewReader(body)).Decode(request)
	}
	if err != nil {
		callErr := invalidArgument("malformed request: " + err.Error())
		s.respond(w, callErr.status, callErr.Error)
	}
	return err == nil
}

func (s *StoreServer) respond(w http.ResponseWriter, status int, response any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	s.send(w, response)
}

// send writes one JSON line. Write errors are ignored: the next operation on a closed
// connection fails as well.
func (s *StoreServer) send(w io.Writer, message any) {
	line, _ := json.Marshal(message) // every value of the message types can be encoded
	n, _ := w.Write(append(line, '\n'))
	s.counts.bytesOut.Add(int64(n))
}

func (s *StoreServer) header() wire.Header {
	return wire.Header{Revision: wire.Int64(s.engine.Revision())}
}

func (s *StoreServer) rangeKeys(r wire.RangeRequest) (wire.RangeResponse, *callError) {
	if r.Revision != 0 {
		return wire.RangeResponse{}, invalidArgument("the stand-in supports only reads of the current revision")
	}
	var kvs []wire.KeyValue
	for _, kv := range s.engine.Range(string(r.Key), string(r.RangeEnd)) {
		kvs = append(kvs, keyValue(kv))
	}
	return wire.RangeResponse{Header: s.header(), KVs: kvs, Count: wire.Int64(len(kvs))}, nil
}

func (s *StoreServer) put(r wire.PutRequest) (wire.PutResponse, *callError) {
	_, err := s.engine.Txn(nil, []store.Op{putOp(r)})
	return wire.PutResponse{Header: s.header()}, toCallError(err)
}

func (s *StoreServer) txn(r wire.TxnRequest) (wire.TxnResponse, *callError) {
	conditions, callErr := parseCompares(r.Compare)
	if callErr != nil {
		return wire.TxnResponse{}, callErr
	}
	successOps, failureOps := parseOps(r.Success), parseOps(r.Failure)
	// The protocol rejects a duplicate key in either branch, whether or not the branch
	// is executed.
	if err := errors.Join(mem.CheckKeys(successOps), mem.CheckKeys(failureOps)); err != nil {
		return wire.TxnResponse{}, invalidArgument(wire.MessageDuplicateKey)
	}
	branch := failureOps
	holds := s.engine.Holds(conditions)
	if holds {
		branch = successOps
	}
	_, err := s.engine.Txn(nil, branch)
	return wire.TxnResponse{Header: s.header(), Succeeded: holds}, toCallError(err)
}

func (s *StoreServer) compact(r wire.CompactionRequest) (wire.PutResponse, *callError) {
	s.engine.Compact(int64(r.Revision))
	return wire.PutResponse{Header: s.header()}, nil
}

func (s *StoreServer) grant(r wire.Lease) (wire.Lease, *callError) {
	if r.TTL <= 0 {
		return wire.Lease{}, invalidArgument("the time to live of a lease must be positive")
	}
	id := s.engine.Grant(s.now(), time.Duration(r.TTL)*time.Second)
	header := s.header()
	return wire.Lease{Header: &header, ID: wire.Int64(id.Number), TTL: r.TTL}, nil
}

func (s *StoreServer) keepAlive(r wire.Lease) (wire.Stream[wire.Lease], *callError) {
	header := s.header()
	result := &wire.Lease{Header: &header, ID: r.ID}
	// The response for an expired lease has no TTL.
	if ttl, err := s.engine.KeepAlive(s.now(), store.LeaseID{Number: int64(r.ID)}); err == nil {
		result.TTL = wire.Int64(ttl / time.Second)
	}
	return wire.Stream[wire.Lease]{Result: result}, nil
}

func (s *StoreServer) revoke(r wire.Lease) (wire.Lease, *callError) {
	err := s.engine.Revoke(store.LeaseID{Number: int64(r.ID)})
	header := s.header()
	return wire.Lease{Header: &header}, toCallError(err)
}

func toCallError(err error) *callError {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, store.ErrNotFound):
		return &callError{http.StatusNotFound, wire.Error{Code: wire.CodeNotFound, Message: wire.MessageNoLease}}
	case errors.Is(err, mem.ErrDuplicateKey):
		return invalidArgument(wire.MessageDuplicateKey)
	}
	return invalidArgument(err.Error())
}

func keyValue(kv store.KV) wire.KeyValue {
	return wire.KeyValue{
		Key:            []byte(kv.Key),
		Value:          kv.Value,
		CreateRevision: wire.Int64(kv.CreateRevision),
		ModRevision:    wire.Int64(kv.ModRevision),
		Lease:          wire.Int64(kv.Lease.Number),
	}
}

func putOp(r wire.PutRequest) store.Op {
	return store.Op{Key: string(r.Key), Value: r.Value, Lease: store.LeaseID{Number: int64(r.Lease)}}
}

func parseOps(requests []wire.RequestOp) []store.Op {
	var out []store.Op
	for _, r := range requests {
		switch {
		case r.Put != nil:
			out = append(out, putOp(*r.Put))
		case r.Delete != nil:
			out = append(out, store.Op{Key: string(r.Delete.Key), Delete: true})
		}
	}
	return out
}

func parseCompares(conditions []wire.Compare) ([]store.Compare, *callError) {
	var out []store.Compare
	for _, c := range conditions {
		revision, target := c.ModRevision, store.CompareMod
		if c.Target == wire.TargetCreate {
			revision, target = c.CreateRevision, store.CompareCreate
		}
		known := c.Target == wire.TargetCreate || c.Target == wire.TargetMod
		if !known || (c.Result != "" && c.Result != wire.ResultEqual) {
			return nil, invalidArgument("the stand-in supports only the compare targets MOD and CREATE with EQUAL")
		}
		if revision == nil {
			revision = new(wire.Int64)
		}
		out = append(out, store.Compare{Key: string(c.Key), Target: target, Revision: int64(*revision)})
	}
	return out, nil
}
