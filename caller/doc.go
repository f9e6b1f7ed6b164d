// Package caller is a small HTTP client for services behind nutmegtrack. It retries a
// request only if running it twice is impossible or harmless, and reports whether it has
// run.
package caller
