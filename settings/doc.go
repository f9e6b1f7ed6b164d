// Package settings loads the settings file of a balancer or an agent: JSON with
// comments, one file for each process. The loader is strict. Unknown fields,
// wrong types and values out of range are findings, and all findings of a file
// are reported together with line, column and field.
package settings
