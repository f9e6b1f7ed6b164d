package main

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/nutmegtrack/nutmegtrack/platform"
)

// sum is the stand-ins' keyed sum over all fields that the system may not change.
func sum(b []byte) uint32 {
	c := append([]byte("harness2"), b...)
	platform.Packets{}.ClearTransitFields(c[8:])
	platform.SetSum(c[8:], 0)
	return uint32(xxhash.Sum64(c)) | 1
}

func sumValid(b []byte) bool { return platform.Sum(b) == sum(b) }

func build(s platform.Segment) []byte {
	b := platform.AppendSegment(nil, &s)
	platform.SetSum(b, sum(b))
	return b
}

const idHeader = "X-Nutmegtrack-Request-Id: "

func requestFor(id string) string {
	return "GET /lookup HTTP/1.1\r\nHost: portal\r\n" + idHeader + id + "\r\n\r\n"
}

func requestID(payload []byte) string {
	_, rest, _ := strings.Cut(string(payload), idHeader)
	id, _, _ := strings.Cut(rest, "\r\n")
	return id
}

func answerFor(id string) string {
	body := "answer " + id
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Nutmegtrack-Server-Seal: s\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}
