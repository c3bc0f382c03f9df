// Package matcher holds the operators' configuration for opaque HTTP requests,
// and finds the route of a request in it.
//
// A route is selected by host and longest path prefix. Whether a request may be
// retried depends on the kind of its route alone, never on the request. A Config
// is immutable: a change is another Config with a higher version.
package matcher

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/primrosedrift/primrosedrift/internal/authenticator"
)

// Kind says whether requests may run more than once. The zero value is the
// strictest.
type Kind uint8

// Kinds of routes.
const (
	// Once is for requests that run at most once each time a client sends them.
	Once Kind = iota
	// Idempotent is for requests that may run more than once.
	Idempotent
)

func (k Kind) String() string {
	if k == Idempotent {
		return "idempotent"
	}
	return "once"
}

// Route defines the targets, limits and objectives of the requests that match it.
type Route struct {
	Name   string
	Host   string
	Prefix string // of the path; begins and ends with a slash
	Kind   Kind
	// IsStream says that responses are streams of events.
	IsStream bool
	// IsResumable says that an interrupted stream may resume at another upstream
	// after the last event that was received.
	IsResumable bool
	// Timeout bounds the duration of a request.
	Timeout time.Duration
	// Objective is the latency objective of the route: the time to the response,
	// or to the first event of a stream.
	Objective time.Duration
	// MaxEventGap is the objective for the longest pause between two events of a
	// stream.
	MaxEventGap time.Duration
	// EventTimeout is how long a client waits for the next event of a stream, zero if
	// only the deadline applies.
	EventTimeout time.Duration
	// Priority is the priority of the requests; 0 is the highest.
	Priority int
	// MaxAttempts bounds the number of upstreams that may run one request.
	MaxAttempts int
	// IsPublic says that requests need no key of a client account.
	IsPublic bool
	Targets  []Target
}

// MayRetry reports whether a request that may have run may be retried from its
// beginning.
func (r Route) MayRetry() bool {
	return r.Kind == Idempotent
}

// Service returns the service for a request, chosen by the hash of the key in
// proportion to the weights. Requests with equal keys go to the same service.
func (r Route) Service(key string) string {
	total := uint64(0)
	for _, t := range r.Targets {
		total += uint64(max(t.Weight, 0))
	}
	if total == 0 {
		if len(r.Targets) == 0 {
			return ""
		}
		return r.Targets[0].Service
	}
	point := xxhash.Sum64String(key) % total
	for _, t := range r.Targets {
		weight := uint64(max(t.Weight, 0))
		if point < weight {
			return t.Service
		}
		point -= weight
	}
	return "" // not reached: point is less than the sum of the weights
}

// Target is a service that receives a share of a route's requests, in proportion
// to its weight.
type Target struct {
	Service string
	Weight  int
}

// Service is a group of interchangeable upstreams.
type Service struct {
	Name string
	// MaxConns is how many connections an upstream accepts from all instances
	// together.
	MaxConns int
	// HealthPath is where an upstream responds at once, empty if it does nowhere.
	HealthPath string
	// Engine is nil for a service without model engines.
	Engine *Engine
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots int // concurrent requests for each upstream
	// MemoryMB is the memory for weights, adapters included.
	MemoryMB float64
	// AdapterSlots is how many adapters an upstream can hold.
	AdapterSlots int
	// StoreLoadsPerSecond limits the rate at which loads from the weight store start.
	StoreLoadsPerSecond float64
	Models              map[string]Model
}

// Model is a model that an engine can load.
type Model struct {
	Name      string
	SizeMB    float64
	AdapterMB float64
	// Load durations from the weight store, from the upstream's disk and from its
	// host memory.
	StoreLoadDuration, DiskLoadDuration, HostLoadDuration time.Duration
}

// Limits bound the requests and connections of clients.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Config is one version of the configuration.
type Config struct {
	Version  int64
	Services map[string]Service
	Limits   Limits
	// Accounts are the client accounts. If there are none, requests need no key.
	Accounts *authenticator.Accounts

	routesByHost map[string][]Route // longest prefix first
	resumable    map[string]bool    // services with streams that may resume
}

// New returns a configuration. Hosts of routes match without port and case.
func New(version int64, routes []Route, services map[string]Service, limits Limits) *Config {
	c := &Config{Version: version, Services: services, Limits: limits, routesByHost: make(map[string][]Route), resumable: make(map[string]bool)}
	for _, r := range routes {
		host := normalize(r.Host)
		c.routesByHost[host] = append(c.routesByHost[host], r)
		for _, t := range r.Targets {
			c.resumable[t.Service] = c.resumable[t.Service] || r.IsStream && r.IsResumable
		}
	}
	for _, list := range c.routesByHost {
		slices.SortStableFunc(list, func(a, b Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return c
}

// WithAccounts returns a copy of the configuration with client accounts.
func (c *Config) WithAccounts(a *authenticator.Accounts) *Config {
	out := *c
	out.Accounts = a
	return &out
}

// Match returns the route for a Host header and a path; a query in the path is
// ignored.
func (c *Config) Match(host, path string) (Route, bool) {
	path, _, _ = strings.Cut(path, "?")
	for _, r := range c.routesByHost[normalize(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return Route{}, false
}

// HasResumableStreams reports whether a route to the service has streams that may resume.
func (c *Config) HasResumableStreams(service string) bool { return c.resumable[service] }

// NumRoutes returns the number of routes.
func (c *Config) NumRoutes() int {
	n := 0
	for _, list := range c.routesByHost {
		n += len(list)
	}
	return n
}

// normalize removes the port of a host and converts it to lower case.
func normalize(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}
