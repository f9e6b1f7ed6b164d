// Package fake provides a network and a store in virtual time for tests, with fault
// injection. Store implements the same interface as the real store client.
package fake
