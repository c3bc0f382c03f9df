package assembler

import (
	"net/http"
	"time"

	"github.com/primrosedrift/primrosedrift/internal/conductor"
	"github.com/primrosedrift/primrosedrift/internal/courier"
	"github.com/primrosedrift/primrosedrift/internal/follower"
	"github.com/primrosedrift/primrosedrift/internal/leaser"
	"github.com/primrosedrift/primrosedrift/internal/matcher"
	"github.com/primrosedrift/primrosedrift/internal/registrar"
	"github.com/primrosedrift/primrosedrift/internal/relayer"
)

// Deployment is an instance's place on a platform.
type Deployment struct {
	Instance   string
	DataCentre string
	Listen     Listen
	// MemoryBytes is what the process may use, 0 for no bound.
	MemoryBytes int64
	// Grace is how long a planned stop may take.
	Grace time.Duration
	// AddressLife is how long callers keep an address.
	AddressLife time.Duration
	// Drain and Apply are how soon a leaving upstream gets no new requests, and
	// a configuration is in force.
	Drain, Apply time.Duration
	// OrderGap is the least time between the orders of two instances.
	OrderGap time.Duration
	// RetryShare and RetryReserve bound the repeats of all instances together.
	RetryShare, RetryReserve float64

	// Configs and Upstreams are the topics of the configuration and of the
	// upstreams' entries.
	Configs, Upstreams follower.Topic
	Lease              leaser.Store
	DecodeConfig       func([]follower.Record) (*matcher.Config, error)
	DecodeUpstream     func(id string, value []byte) (*registrar.Upstream, error)
	Codec              relayer.Codec
	Remote             func(*courier.Pool) conductor.Remote
	Directory          func(locate func(dataCentre string) ([]string, time.Duration)) http.Handler
	Ready              func(isReady func() bool) http.Handler
}

// Listen holds the addresses that the instance serves on, as host:port.
type Listen struct {
	Caller, Ready, Directory, Peer, Metrics string
}
