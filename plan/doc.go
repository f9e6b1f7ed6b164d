// Package plan holds the operators' two lists: the customers with the plan each is
// on, and what each plan allows. It decodes, validates, compares, pages and installs
// them, and steps the reading of a new revision. It performs no I/O and holds no
// clock.
package plan
