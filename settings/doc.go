// Package settings loads the settings file of a balancer or an agent: JSON with
// comments, one file per process. The loader is strict: unknown fields, wrong types
// and values out of range are findings, and all findings of a file are reported
// together with line, column and field.
package settings
