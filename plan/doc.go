// Package plan implements the operators' two lists: the customers with their plans, and
// the limits of each plan. It decodes, validates, compares and installs the lists, splits
// them into pages, and contains the state machine that fetches a new revision. It
// performs no I/O and reads no clock.
package plan
