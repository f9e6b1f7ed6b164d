// Package httpfront terminates HTTP/1.1 connections of callers and sends each request
// to the upstream on the same VM when package request allows it. It uses net/http on
// both sides.
package httpfront
