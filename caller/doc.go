// Package caller is a small HTTP client for services behind nutmegtrack. It retries a
// request only if the retry cannot run it twice, and reports whether it has run.
package caller
