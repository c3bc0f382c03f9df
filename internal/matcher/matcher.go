// Package matcher holds the operators' configuration for opaque HTTP requests,
// and finds the route of a request in it.
//
// A route is selected by host and longest path prefix. Its kind says what may
// be repeated; nothing in the request does. A Config is immutable: a change is
// another Config with a higher version.
package matcher

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kind says what may be repeated. The zero value is the strictest.
type Kind uint8

// Kinds of routes.
const (
	// Once is for requests that run at most once for each attempt of a client.
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

// Route says where requests go and what they may expect.
type Route struct {
	Name   string
	Host   string
	Prefix string // of the path; begins and ends with a slash
	Kind   Kind
	// IsStream says that answers are streams of events.
	IsStream bool
	// IsResumable says that a stream may go on at another upstream after the
	// last event that arrived.
	IsResumable bool
	// Timeout is the longest time that a request may take.
	Timeout time.Duration
	// Objective is the time to the answer, or to the first event, that the
	// route promises.
	Objective time.Duration
	// MaxGap is the longest pause between two events of a stream.
	MaxGap time.Duration
	// Patience is how long a client waits for the next event of a stream, and
	// zero if only the deadline counts.
	Patience time.Duration
	// Priority is the rank of the requests, 0 is the highest.
	Priority int
	// MaxAttempts is how many upstreams may run one request.
	MaxAttempts int
	Targets     []Target
}

// MayRepeat reports whether a request that may have run may be sent again from
// its beginning.
func (r Route) MayRepeat() bool {
	return r.Kind == Idempotent
}

// Service returns the service for a request. Requests with equal keys go to
// the same service.
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
	at := xxhash.Sum64String(key) % total
	for _, t := range r.Targets {
		w := uint64(max(t.Weight, 0))
		if at < w {
			return t.Service
		}
		at -= w
	}
	return "" // not reached: at is below the sum of the weights
}

// Target is a service that takes a share of a route's requests.
type Target struct {
	Service string
	Weight  int
}

// Service is a group of alike upstreams.
type Service struct {
	Name string
	// MaxConns is how many connections an upstream accepts from all instances.
	MaxConns int
	// Engine is nil for a plain service.
	Engine *Engine
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots int // requests that run at once
	// MemoryMB is the room for weights, adapters included.
	MemoryMB float64
	// AdapterPlaces is how many adapters an upstream holds.
	AdapterPlaces int
	// LoadsPerSecond is how many loads may begin at the weight store.
	LoadsPerSecond float64
	Models         map[string]Model
}

// Model is a model that an engine can load.
type Model struct {
	Name      string
	SizeMB    float64
	AdapterMB float64
	// Loads from the weight store, from the upstream's disk and from its host
	// memory take this long.
	FromStore, FromDisk, FromHost time.Duration
}

// Limits bound what clients may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Config is a version of the configuration.
type Config struct {
	Version  int64
	Services map[string]Service
	Limits   Limits

	hosts map[string][]Route // longest prefix first
}

// New returns the configuration with the routes.
func New(version int64, routes []Route, services map[string]Service, limits Limits) *Config {
	c := &Config{Version: version, Services: services, Limits: limits, hosts: make(map[string][]Route)}
	for _, r := range routes {
		host := normalize(r.Host)
		c.hosts[host] = append(c.hosts[host], r)
	}
	for _, list := range c.hosts {
		slices.SortStableFunc(list, func(a, b Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return c
}

// Match returns the route of a request by its Host header and its path.
func (c *Config) Match(host, path string) (Route, bool) {
	path, _, _ = strings.Cut(path, "?")
	for _, r := range c.hosts[normalize(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return Route{}, false
}

// Routes returns the number of routes.
func (c *Config) Routes() int {
	n := 0
	for _, list := range c.hosts {
		n += len(list)
	}
	return n
}

// normalize drops the port of a host and folds its case.
func normalize(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}
