package standin

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// HTTPRun is one request that an HTTP upstream started to run.
type HTTPRun struct {
	Number int    `json:"number"`
	Method string `json:"method"`
	Target string `json:"target"`
	Key    string `json:"key"` // value of the header Idempotency-Key
	Bytes  int64  `json:"bytes"`
	// Complete is set before the response is sent. It stays false if the body was
	// truncated, the request was cancelled or the connection was aborted (break=1), and
	// for /events.
	Complete bool `json:"complete"`
}

// HTTPUpstream answers HTTP requests and records them. The query parameter work_ms
// delays the response by that many milliseconds; break=1 aborts the connection
// instead of responding. /events streams one event per second, and /ledger returns
// the records.
type HTTPUpstream struct {
	listen string
	mux    *http.ServeMux

	mu   sync.Mutex
	runs []HTTPRun
}

// NewHTTPUpstream returns an upstream that Run serves on the given address.
func NewHTTPUpstream(listen string) *HTTPUpstream {
	u := &HTTPUpstream{listen: listen, mux: http.NewServeMux()}
	u.mux.HandleFunc("GET /ledger", func(w http.ResponseWriter, _ *http.Request) { answerJSON(w, u.Runs()) })
	u.mux.HandleFunc("GET /events", u.events)
	u.mux.HandleFunc("/", u.work)
	return u
}

// Run serves until ctx ends.
func (u *HTTPUpstream) Run(ctx context.Context) error { return serveHTTP(ctx, u.listen, u) }

// ServeHTTP implements http.Handler.
func (u *HTTPUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) { u.mux.ServeHTTP(w, r) }

// Runs returns a copy of the recorded requests.
func (u *HTTPUpstream) Runs() []HTTPRun {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]HTTPRun{}, u.runs...)
}

func (u *HTTPUpstream) begin(r *http.Request) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	n := len(u.runs) + 1
	u.runs = append(u.runs, HTTPRun{Number: n, Method: r.Method, Target: r.URL.RequestURI(), Key: r.Header.Get("Idempotency-Key")})
	return n
}

func (u *HTTPUpstream) complete(n int, bytes int64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.runs[n-1].Bytes, u.runs[n-1].Complete = bytes, true
}

func (u *HTTPUpstream) work(w http.ResponseWriter, r *http.Request) {
	n := u.begin(r)
	bytes, err := io.Copy(io.Discard, r.Body)
	if err != nil || !sleep(r, r.URL.Query().Get("work_ms")) {
		return
	}
	if r.URL.Query().Get("break") == "1" {
		panic(http.ErrAbortHandler)
	}
	u.complete(n, bytes)
	fmt.Fprintf(w, "run %d: %s %s, %d bytes\n", n, r.Method, r.URL.Path, bytes)
}

// sleep waits for the given number of milliseconds, or not at all if it is not a
// number. It returns false if the request was cancelled.
func sleep(r *http.Request, milliseconds string) bool {
	n, err := strconv.Atoi(milliseconds)
	if err != nil {
		return true
	}
	select {
	case <-time.After(time.Duration(n) * time.Millisecond):
		return true
	case <-r.Context().Done():
		return false
	}
}

func (u *HTTPUpstream) events(w http.ResponseWriter, r *http.Request) {
	u.begin(r)
	w.Header().Set("Content-Type", "text/event-stream")
	for i := 1; ; i++ {
		fmt.Fprintf(w, "data: %d\n\n", i)
		if http.NewResponseController(w).Flush() != nil || !sleep(r, "1000") {
			return
		}
	}
}
