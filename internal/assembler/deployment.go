package assembler

import (
	"net/http"
	"time"

	"github.com/primrosedrift/primrosedrift/internal/archiver"
	"github.com/primrosedrift/primrosedrift/internal/conductor"
	"github.com/primrosedrift/primrosedrift/internal/courier"
	"github.com/primrosedrift/primrosedrift/internal/follower"
	"github.com/primrosedrift/primrosedrift/internal/leaser"
	"github.com/primrosedrift/primrosedrift/internal/losstracker"
	"github.com/primrosedrift/primrosedrift/internal/matcher"
	"github.com/primrosedrift/primrosedrift/internal/registrar"
	"github.com/primrosedrift/primrosedrift/internal/relayer"
	"github.com/primrosedrift/primrosedrift/internal/streamtracker"
	"github.com/primrosedrift/primrosedrift/internal/trier"
	"github.com/primrosedrift/primrosedrift/internal/versioner"
)

// Deployment configures one instance for the platform on which it is deployed:
// its identity, its limits, and the adapters to the platform's formats.
type Deployment struct {
	Instance   string
	DataCentre string
	Listen     Listen
	// Seeds are the Seed addresses of some instances. An instance that starts while it
	// cannot reach the platform finds the others through them. They may be out of date.
	Seeds []string
	// MemoryBytes is the memory limit of the process. 0 means no limit.
	MemoryBytes int64
	// Cores is the processor time that the process may use, in cores. 0 means no limit.
	Cores float64
	// StopGrace is the maximum duration of a graceful shutdown.
	StopGrace time.Duration
	// AddressTTL is how long callers may cache an address.
	AddressTTL time.Duration
	// MaxDrainDelay is the time within which a leaving upstream stops receiving new
	// requests. MaxApplyDelay is the time within which a new configuration is in
	// force.
	MaxDrainDelay, MaxApplyDelay time.Duration
	// RevokeAfter is the time after which no request may run with a key that a newer
	// configuration has taken away. 0 means that there is no such limit.
	RevokeAfter time.Duration
	// MinOrderGap is the minimum time between the orders of two instances.
	MinOrderGap time.Duration
	// RetryRatio is the maximum ratio of retries to first attempts, and
	// RetryReserve the number of retries allowed beyond it. Both apply to all
	// instances together.
	RetryRatio, RetryReserve float64
	// QuotaWindow is the time over which the use of a client account is bounded, by all
	// instances together. It may exceed the quota by the ratio QuotaOverage and by
	// QuotaSlack. Zero values stand for the defaults of allotter.Bounds.
	QuotaWindow              time.Duration
	QuotaOverage, QuotaSlack float64

	// ConfigTopic and UpstreamTopic are the topics of the configuration and of the
	// registrations of upstreams.
	ConfigTopic, UpstreamTopic follower.Topic
	LeaseStore                 leaser.Store
	PoisonStore                losstracker.Store
	TrialStore                 trier.Store
	SoftwareStore              streamtracker.Store
	OriginStore                archiver.Store
	DefaultsStore              versioner.Store
	DecodeConfig               func([]follower.Record) (*matcher.Config, error)
	DecodeUpstream             func(id string, value []byte) (*registrar.Upstream, error)
	// IsOlderConfig and IsOlderRegistration report whether the value a is of an older
	// state than b.
	IsOlderConfig, IsOlderRegistration func(a, b []byte) bool
	Codec                              relayer.Codec
	NewRemote                          func(*courier.Pool) conductor.Remote
	NewDirectoryHandler                func(locate func(dataCentre string) ([]string, time.Duration)) http.Handler
	NewReadyHandler                    func(isReady func() bool) http.Handler
}

// Listen holds the listen addresses of the instance, as host:port.
type Listen struct {
	Caller, Ready, Directory, Peer, Metrics string
	// Seed is another address for peers, empty for none.
	Seed string
}
