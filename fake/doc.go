// Package fake holds the test fakes that run the decision packages in virtual
// time.
package fake
