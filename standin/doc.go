// Package standin holds small replacements of the platform for tests and the demo.
// They serve the platform's published protocols and have switches for its faults.
package standin
