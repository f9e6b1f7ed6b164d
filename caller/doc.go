// Package caller is a small HTTP client for services behind nutmegtrack. It retries a
// request only if no attempt so far has run, its method is idempotent, or it has an
// idempotency key, and reports whether it has run. A key prevents a second run only if
// agents serve the request, and within their retention time.
package caller
