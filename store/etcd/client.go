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

	"github.com/nutmegtrack/nutmegtrack/event"
	"github.com/nutmegtrack/nutmegtrack/store"
)

// Config holds the endpoints of the store and the client's time limits. Zero fields get
// the defaults.
type Config struct {
	Endpoints   []string      // URLs such as "http://10.0.0.5:2379"; at least one
	Timeout     time.Duration // limit for one attempt at one endpoint, including the response
	DialTimeout time.Duration // limit for one connection attempt
	Log         *event.Logger // receives the event about a lost history; may be nil
}

const (
	defaultTimeout     = 2 * time.Second
	defaultDialTimeout = time.Second

	// maxResponseBytes limits the size of one response body. The largest response lists all
	// pages of the lists of customers and plans; at the scale that deployments are planned
	// for it is smaller than a quarter of the limit.
	maxResponseBytes = 64 << 20

	idleConnTimeout = 90 * time.Second
)

// tcpKeepAlive detects an unreachable store within about 11 s. Without it, a watch that
// receives no changes would wait forever on a dead connection.
var tcpKeepAlive = net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: 2 * time.Second, Count: 3}

// Client implements store.Store. It is safe for concurrent use.
type Client struct {
	cfg       Config
	http      *http.Client
	transport *http.Transport
	preferred atomic.Uint32 // index of the endpoint that answered most recently
	history   *history
}

var _ store.Store = (*Client)(nil)

// New returns a client without opening a connection.
func New(cfg Config) (*Client, error) {
	if err := cfg.normalize(); err != nil {
		return nil, err
	}
	dialer := &net.Dialer{Timeout: cfg.DialTimeout, KeepAliveConfig: tcpKeepAlive}
	transport := &http.Transport{
		DialContext:     dialer.DialContext,
		IdleConnTimeout: idleConnTimeout,
	}
	client := &http.Client{Transport: transport, CheckRedirect: noRedirect}
	return &Client{cfg: cfg, http: client, transport: transport, history: &history{log: cfg.Log}}, nil
}

// noRedirect disables redirects, so that a write is not sent a second time to another
// server.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Close closes idle connections. Open watches continue until their contexts end.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// normalize sets the defaults, checks that the endpoints are HTTP URLs and removes their
// trailing slashes.
func (cfg *Config) normalize() error {
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
