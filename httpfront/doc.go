// Package httpfront terminates callers' HTTP/1.1 connections and forwards each request
// to the upstream on the same VM once package request has started it. Both sides use
// net/http.
package httpfront
