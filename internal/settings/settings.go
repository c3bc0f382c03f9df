// Package settings reads and checks the settings file of an entry instance.
//
// All faults of a file are reported at once, each with its line and key. Unknown
// keys are rejected. A setting that is absent has the default that its field
// documents.
package settings

import (
	"fmt"
	"net"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/primrosedrift/primrosedrift/internal/keyring"
)

// Settings are the settings of one entry instance.
type Settings struct {
	// Instance is the instance's name, unique in the platform's instance list.
	Instance   string   `toml:"instance"`
	DataCentre string   `toml:"data-centre"`
	Listen     Listen   `toml:"listen"`
	Platform   Platform `toml:"platform"`
	Limits     Limits   `toml:"limits"`
	Timing     Timing   `toml:"timing"`
	Log        Log      `toml:"log"`
	TLS        TLS      `toml:"tls"`
}

// TLS holds the certificate and key files for each kind of client. A kind without
// files uses plain TCP. Peers and operators need a trust file, because both ends
// of their connections are authenticated.
type TLS struct {
	Caller   keyring.Files `toml:"caller"`
	Peer     keyring.Files `toml:"peer"`
	Operator keyring.Files `toml:"operator"`
}

// Listen holds the addresses that the instance listens on, as host:port.
type Listen struct {
	Caller   string `toml:"caller"`
	Peer     string `toml:"peer"`
	Operator string `toml:"operator"`
	// Debug is the address of metrics, health and pprof; if empty, they are not
	// served.
	Debug string `toml:"debug"`
}

// Platform holds the URLs of the platform's services.
type Platform struct {
	Log          string `toml:"log"`
	InstanceList string `toml:"instance-list"`
}

// Limits bounds the queues of the instance.
type Limits struct {
	// QueuedRequests is the maximum number of queued requests; default 4096.
	QueuedRequests int `toml:"queued-requests"`
	// PendingRecords is the maximum number of records that wait to be appended to
	// the log; default 8192.
	PendingRecords int `toml:"pending-records"`
}

// Timing holds durations for loading models, the takeover of shards, the cache of
// Locate, and shutdown.
type Timing struct {
	// KeepWarm is how long an idle replica stays loaded if the policy in force
	// does not weigh cold starts against idle replicas; default 5m.
	KeepWarm Duration `toml:"keep-warm"`
	// TakeoverAfter is how long a shard holder must be unreachable before its shards
	// are claimed by others; default 3s.
	TakeoverAfter Duration `toml:"takeover-after"`
	// LocateKeep is how long callers may cache a response of Locate; default 2s.
	LocateKeep Duration `toml:"locate-keep"`
	// StopAfter is the timeout of a graceful shutdown; default 30s.
	StopAfter Duration `toml:"stop-after"`
}

// Log configures logging.
type Log struct {
	// Level is debug, info, warn or error; default info.
	Level string `toml:"level"`
}

// Duration is a time.Duration whose text form is that of time.ParseDuration, such
// as 1.5s.
type Duration struct{ time.Duration }

// UnmarshalText parses a duration.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	if err != nil {
		return errors.Newf("%q is not a duration such as 1.5s", b)
	}
	d.Duration = v
	return nil
}

// MarshalText formats the duration.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(d.String()), nil
}

// Default values.
const (
	DefaultQueuedRequests = 4096
	DefaultPendingRecords = 8192
	DefaultKeepWarm       = 5 * time.Minute
	DefaultTakeoverAfter  = 3 * time.Second
	DefaultLocateKeep     = 2 * time.Second
	DefaultStopAfter      = 30 * time.Second
)

// Fault is one fault of a file that a Checker has read.
type Fault struct {
	File string
	Line int // 0 if unknown, for example for a missing key outside a table
	Key  string
	Text string
}

func (f Fault) String() string {
	if f.Line == 0 {
		return fmt.Sprintf("%s: %s: %s", f.File, f.Key, f.Text)
	}
	return fmt.Sprintf("%s:%d: %s: %s", f.File, f.Line, f.Key, f.Text)
}

// Faults is an error that holds all faults of a file.
type Faults []Fault

func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, v := range f {
		lines[i] = v.String()
	}
	return strings.Join(lines, "\n")
}

// Load reads and checks a settings file. The error is a Faults unless the file
// cannot be read.
func Load(file string) (Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, errors.Wrap(err, "read settings")
	}
	return Parse(file, data)
}

// Parse decodes and checks the content of a settings file and sets defaults. file
// is the name used in faults. The error is a Faults.
func Parse(file string, data []byte) (Settings, error) {
	var s Settings
	c := Checker{File: file}
	c.Decode(data, &s)
	s.check(c.Add)
	if err := c.Err(); err != nil {
		return Settings{}, err
	}
	return s.withDefaults(), nil
}

// check calls add for each invalid value.
func (s Settings) check(add func(key, text string)) {
	if s.Instance == "" {
		add("instance", "is missing; give the name that the instance list has")
	}
	if s.DataCentre == "" {
		add("data-centre", "is missing")
	}
	for key, addr := range map[string]string{
		"listen.caller": s.Listen.Caller, "listen.peer": s.Listen.Peer, "listen.operator": s.Listen.Operator,
	} {
		if _, _, err := net.SplitHostPort(addr); err != nil {
			add(key, "needs host:port, such as 127.0.0.1:7001")
		}
	}
	for key, raw := range map[string]string{"platform.log": s.Platform.Log, "platform.instance-list": s.Platform.InstanceList} {
		if u, err := url.Parse(raw); err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
			add(key, "needs a URL, such as http://127.0.0.1:7000")
		}
	}
	for key, n := range map[string]int{
		"limits.queued-requests": s.Limits.QueuedRequests, "limits.pending-records": s.Limits.PendingRecords,
	} {
		if n < 0 {
			add(key, "must not be negative")
		}
	}
	for key, d := range map[string]Duration{
		"timing.keep-warm": s.Timing.KeepWarm, "timing.takeover-after": s.Timing.TakeoverAfter,
		"timing.locate-keep": s.Timing.LocateKeep, "timing.stop-after": s.Timing.StopAfter,
	} {
		if d.Duration < 0 {
			add(key, "must not be negative")
		}
	}
	s.TLS.check(add)
	switch s.Log.Level {
	case "", "debug", "info", "warn", "error":
	default:
		add("log.level", "must be debug, info, warn or error")
	}
}

func (t TLS) check(add func(key, text string)) {
	for _, v := range []struct {
		key      string
		files    keyring.Files
		isMutual bool // both ends show a certificate
	}{{"tls.caller", t.Caller, false}, {"tls.peer", t.Peer, true}, {"tls.operator", t.Operator, true}} {
		if v.files.IsZero() {
			continue
		}
		if v.files.Certificate == "" {
			add(v.key+".certificate", "is missing")
		}
		if v.files.Key == "" {
			add(v.key+".key", "is missing")
		}
		if v.isMutual && v.files.Trust == "" {
			add(v.key+".trust", "is missing; peers and operators must show a certificate")
		}
	}
}

func (s Settings) withDefaults() Settings {
	setInt(&s.Limits.QueuedRequests, DefaultQueuedRequests)
	setInt(&s.Limits.PendingRecords, DefaultPendingRecords)
	setDuration(&s.Timing.KeepWarm, DefaultKeepWarm)
	setDuration(&s.Timing.TakeoverAfter, DefaultTakeoverAfter)
	setDuration(&s.Timing.LocateKeep, DefaultLocateKeep)
	setDuration(&s.Timing.StopAfter, DefaultStopAfter)
	if s.Log.Level == "" {
		s.Log.Level = "info"
	}
	return s
}

// setInt sets v to the default d if it is 0.
func setInt(v *int, d int) {
	if *v == 0 {
		*v = d
	}
}

// setDuration sets v to the default d if it is 0.
func setDuration(v *Duration, d time.Duration) {
	if v.Duration == 0 {
		v.Duration = d
	}
}
