// Package etcd is a client of the platform's store over the published etcd v3
// JSON-over-HTTP protocol.
package etcd

import (
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/nutmegtrack/nutmegtrack/store"
)

// Config says where the store is. Fields left zero get the defaults.
type Config struct {
	Endpoints   []string      // URLs such as "http://10.0.0.5:2379"; at least one
	Timeout     time.Duration // of one attempt at one endpoint, the response included
	DialTimeout time.Duration // of one connection attempt
}

const (
	defaultTimeout     = 2 * time.Second
	defaultDialTimeout = time.Second

	// maxResponse bounds what is read of one response, in bytes: a list of all
	// pages of both lists at the target scale is below a quarter of it.
	maxResponse = 64 << 20

	idleTimeout = 90 * time.Second
)

// keepAlive finds a dead peer within about 11 s, since a silent watch would
// otherwise wait for ever on a connection that no longer exists.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: 2 * time.Second, Count: 3}

// Client implements store.Store. It is safe for concurrent use.
type Client struct {
	cfg       Config
	http      *http.Client
	transport *http.Transport
	preferred atomic.Uint32 // index of the endpoint that answered last
}

var _ store.Store = (*Client)(nil)

// New returns a client; it opens no connection yet.
func New(cfg Config) (*Client, error) {
	if err := cfg.complete(); err != nil {
		return nil, err
	}
	dialer := &net.Dialer{Timeout: cfg.DialTimeout, KeepAliveConfig: keepAlive}
	transport := &http.Transport{
		DialContext:     dialer.DialContext,
		IdleConnTimeout: idleTimeout,
	}
	client := &http.Client{Transport: transport, CheckRedirect: noRedirect}
	return &Client{cfg: cfg, http: client, transport: transport}, nil
}

// noRedirect keeps a write from being sent a second time to another place.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Close closes idle connections. Watches end with their contexts.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

func (cfg *Config) complete() error {
	if len(cfg.Endpoints) == 0 {
		return errors.New("store: no endpoints")
	}
	if cfg.Timeout == 0 {
		cfg.Timeout = defaultTimeout
	}
	if cfg.DialTimeout == 0 {
		cfg.DialTimeout = defaultDialTimeout
	}
	endpoints := make([]string, len(cfg.Endpoints))
	for i, endpoint := range cfg.Endpoints {
		u, err := url.Parse(endpoint)
		if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
			return errors.Newf("store: endpoint %q is not an http or https URL", endpoint)
		}
		endpoints[i] = strings.TrimSuffix(endpoint, "/")
	}
	cfg.Endpoints = endpoints
	return nil
}
