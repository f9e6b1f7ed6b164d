package httpfront

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Request and response headers.
const (
	// HeaderDeadline holds the remaining time in milliseconds when the request was sent.
	HeaderDeadline = "Nutmegtrack-Deadline-Ms"
	// HeaderOutcome holds "done", "not-run" or "unknown". "done" is sent with the response
	// head, before the end of the body is known. "not-run" covers only this attempt: an
	// earlier one may have run.
	HeaderOutcome = "Nutmegtrack-Outcome"
	// HeaderReason holds the reason why the upstream's response is not returned.
	HeaderReason = "Nutmegtrack-Reason"
	// HeaderRetry is "1" if an earlier attempt may have run.
	HeaderRetry = "Nutmegtrack-Retry"
	// HeaderKey holds the key defined by draft-ietf-httpapi-idempotency-key-header.
	HeaderKey = "Idempotency-Key"
)

// hopByHop lists the headers that apply to a single connection (RFC 9110, section 7.6.1).
var hopByHop = [...]string{"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade"}

// endToEnd returns the headers to forward. It keeps a protocol upgrade.
func endToEnd(h http.Header) http.Header {
	out := h.Clone()
	upgrade := upgradeProtocol(h)
	for _, list := range h.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		out.Del(name)
	}
	if upgrade != "" {
		out.Set("Connection", "Upgrade")
		out.Set("Upgrade", upgrade)
	}
	return out
}

// upgradeProtocol returns the protocol that a message upgrades to, or "".
func upgradeProtocol(h http.Header) string {
	for _, list := range h.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			if strings.EqualFold(strings.TrimSpace(name), "Upgrade") {
				return h.Get("Upgrade")
			}
		}
	}
	return ""
}

// Idempotent reports whether a method is idempotent (RFC 9110, section 9.2.2).
func Idempotent(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}

// maxDeadline is the maximum value of the deadline header, and the deadline of requests
// without the header. It is longer than any event stream, which may stay open all day.
const maxDeadline = 10 * 365 * 24 * time.Hour

// parseDeadline returns the remaining time from the deadline header, or maxDeadline if it
// is not set.
func parseDeadline(h http.Header) (time.Duration, bool) {
	text := h.Get(HeaderDeadline)
	if text == "" {
		return maxDeadline, true
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < 0 || n > int64(maxDeadline/time.Millisecond) {
		return 0, false
	}
	return time.Duration(n) * time.Millisecond, true
}
