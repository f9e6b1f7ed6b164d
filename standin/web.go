package standin

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// reportLimit bounds one request body or answer of a control endpoint.
const reportLimit = 256 << 20

const headerTimeout = 5 * time.Second

// serveHTTP serves the control endpoint until ctx ends.
func serveHTTP(ctx context.Context, addr string, h http.Handler) error {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return errors.Wrap(err, "control endpoint")
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "control endpoint")
	}
	return nil
}

// answerJSON writes v as the response.
func answerJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// The client has gone when writing fails; nobody is left to tell.
	_ = json.NewEncoder(w).Encode(v)
}

// readJSON decodes the request body into v and answers 400 when it cannot.
func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, reportLimit))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
