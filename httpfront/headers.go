package httpfront

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Headers of the front.
const (
	// HeaderDeadline holds the milliseconds left when the caller sent the request.
	HeaderDeadline = "Nutmegtrack-Deadline-Ms"
	// HeaderOutcome holds "done", "not-run" or "unknown".
	HeaderOutcome = "Nutmegtrack-Outcome"
	// HeaderReason says why a request has no answer of its own.
	HeaderReason = "Nutmegtrack-Reason"
	// HeaderRetry is "1" when the caller does not know whether an earlier attempt ran.
	HeaderRetry = "Nutmegtrack-Retry"
	// HeaderKey is the key of draft-ietf-httpapi-idempotency-key-header.
	HeaderKey = "Idempotency-Key"
)

// hopByHop are the headers of one connection (RFC 9110, section 7.6.1).
var hopByHop = [...]string{"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade"}

// endToEnd returns the headers to pass on. The protocol of an upgrade is kept.
func endToEnd(h http.Header) http.Header {
	out := h.Clone()
	upgrade := upgradeOf(h)
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

// upgradeOf returns the protocol that a message changes to, or "".
func upgradeOf(h http.Header) string {
	for _, list := range h.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			if strings.EqualFold(strings.TrimSpace(name), "Upgrade") {
				return h.Get("Upgrade")
			}
		}
	}
	return ""
}

// Idempotent reports whether a method may be run again (RFC 9110, section 9.2.2).
func Idempotent(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}

// noDeadline stands for a request without a deadline: feeds stay open all day.
const noDeadline = 10 * 365 * 24 * time.Hour

// deadlineLeft parses the deadline header.
func deadlineLeft(h http.Header) (time.Duration, bool) {
	text := h.Get(HeaderDeadline)
	if text == "" {
		return noDeadline, true
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < 0 || n > int64(noDeadline/time.Millisecond) {
		return 0, false
	}
	return time.Duration(n) * time.Millisecond, true
}
