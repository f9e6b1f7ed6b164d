// Package caller is a small HTTP client for services behind nutmegtrack. It repeats a
// request only when that cannot run it twice, and says what is known of it.
package caller
