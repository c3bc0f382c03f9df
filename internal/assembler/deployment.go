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

// Deployment configures one instance for the platform on which it is deployed:
// its identity, its limits, and the adapters to the platform's formats.
type Deployment struct {
	Instance   string
	DataCentre string
	Listen     Listen
	// MemoryBytes is the memory limit of the process. 0 means no limit.
	MemoryBytes int64
	// Grace is the maximum duration of a graceful shutdown.
	Grace time.Duration
	// AddressLife is how long callers may cache an address.
	AddressLife time.Duration
	// Drain is the time within which a leaving upstream stops receiving new
	// requests. Apply is the time within which a new configuration is in force.
	Drain, Apply time.Duration
	// OrderGap is the minimum time between the orders of two instances.
	OrderGap time.Duration
	// RetryShare is the maximum ratio of retries to first attempts, and
	// RetryReserve the number of retries allowed beyond it. Both apply to all
	// instances together.
	RetryShare, RetryReserve float64

	// Configs and Upstreams are the topics of the configuration and of the
	// registrations of upstreams.
	Configs, Upstreams follower.Topic
	Lease              leaser.Store
	DecodeConfig       func([]follower.Record) (*matcher.Config, error)
	DecodeUpstream     func(id string, value []byte) (*registrar.Upstream, error)
	Codec              relayer.Codec
	Remote             func(*courier.Pool) conductor.Remote
	Directory          func(locate func(dataCentre string) ([]string, time.Duration)) http.Handler
	Ready              func(isReady func() bool) http.Handler
}

// Listen holds the listen addresses of the instance, as host:port.
type Listen struct {
	Caller, Ready, Directory, Peer, Metrics string
}
