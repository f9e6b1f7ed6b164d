//go:build review

package main

import (
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/nutmegtrack/nutmegtrack/platform/standin"
)

// metadataStore is the platform's store: the project's stand-in, without the header that
// PROTOCOL.md doesn't have.
type metadataStore struct {
	rec    *recorder
	store  *standin.Store
	server *http.Server
}

// plainResponse drops the header Store-Era.
type plainResponse struct{ http.ResponseWriter }

func (w plainResponse) WriteHeader(status int) {
	w.Header().Del("Store-Era")
	w.ResponseWriter.WriteHeader(status)
}

func startStore(rec *recorder, at netip.AddrPort) (*metadataStore, error) {
	started := time.Now()
	s := &metadataStore{rec: rec, store: standin.NewStore(func() time.Duration { return time.Since(started) })}
	l, err := net.Listen("tcp", at.String())
	if err != nil {
		return nil, err
	}
	s.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.store.ServeHTTP(plainResponse{w}, r)
	})}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

// route is a route of the operator's document.
type route struct {
	Name         string  `json:"name"`
	Hostname     string  `json:"hostname"`
	Prefix       string  `json:"prefix"`
	RouteType    string  `json:"route-type"`
	TimeoutMs    int     `json:"timeout-ms"`
	TargetMs     int     `json:"target-latency-ms"`
	Priority     int     `json:"priority"`
	Service      string  `json:"service,omitempty"`
	TrafficSplit []share `json:"traffic-split,omitempty"`
	MaxAttempts  int     `json:"max-attempts"`
}

type share struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}

type service struct {
	Name       string `json:"name"`
	HealthPath string `json:"health-path"`
	MaxConns   int    `json:"max-conns"`
	Protocol   string `json:"protocol"`
	TLS        bool   `json:"tls"`
}

type document struct {
	Version  int            `json:"version"`
	Routes   []route        `json:"routes"`
	Services []service      `json:"services"`
	Limits   map[string]int `json:"limits"`
}

// putConfig writes op/config as the operator does. Its return is the acknowledgement.
func (s *metadataStore) putConfig(d *document) {
	text, err := json.Marshal(d)
	if err != nil {
		panic(err)
	}
	s.store.Put("op/config", text)
	s.rec.say("operator: version %d is acknowledged: %s", d.Version, text)
}
