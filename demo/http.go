package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	httpTimeout   = 5 * time.Second
	maxErrorBytes = 1000 // bytes of an error response that an error contains at most
)

var httpClient = &http.Client{Timeout: httpTimeout}

// getJSON reads a report from a stand-in.
func getJSON(ctx context.Context, addr netip.AddrPort, path string, out any) error {
	return doJSON(ctx, http.MethodGet, addr, path, nil, out)
}

// sendJSON sends a command to a stand-in.
func sendJSON(ctx context.Context, method string, addr netip.AddrPort, path string, in any) error {
	return doJSON(ctx, method, addr, path, in, nil)
}

func doJSON(ctx context.Context, method string, addr netip.AddrPort, path string, in, out any) error {
	var body io.Reader
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			return errors.Wrap(err, path)
		}
		body = bytes.NewReader(b)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+addr.String()+path, body)
	if err != nil {
		return errors.Wrap(err, path)
	}
	response, err := httpClient.Do(request)
	if err != nil {
		return errors.Wrap(err, path)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
		return errors.Newf("%s: %s: %s", request.URL, response.Status, bytes.TrimSpace(text))
	}
	if out == nil {
		return nil
	}
	return errors.Wrap(json.NewDecoder(response.Body).Decode(out), path)
}
