package loader

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/primrosedrift/primrosedrift/internal/settings"
)

// Defaults of a Plan.
const (
	DefaultLength    = 10 * time.Second
	DefaultDeadline  = 10 * time.Second
	DefaultMaxTokens = 8
)

// maxRate is the maximum rate of a target in arrivals per second. It bounds the
// memory of the schedule.
const maxRate = 100_000

// maxResendDelay is the maximum delay before a key is sent again.
const maxResendDelay = time.Second

// Plan specifies the requests of a run and their arrivals.
type Plan struct {
	Seed   uint64            `toml:"seed"`
	Length settings.Duration `toml:"length"`
	// DirectShare is the share of requests that are sent directly to the upstreams.
	DirectShare float64  `toml:"direct-share"`
	Targets     []Target `toml:"targets"`
}

// Target specifies requests of one kind with Poisson arrivals.
type Target struct {
	// Name identifies the target in the report.
	Name     string `toml:"name"`
	Customer string `toml:"customer"`
	// Rate is the mean number of arrivals per second.
	Rate float64 `toml:"rate"`
	// From and Until bound the arrivals, counted from the start of the run. Until 0
	// is the end of the run.
	From     settings.Duration `toml:"from"`
	Until    settings.Duration `toml:"until"`
	Deadline settings.Duration `toml:"deadline"`

	// Models are selected with equal probability.
	Models    []string `toml:"models"`
	Adapter   string   `toml:"adapter"`
	MaxTokens uint32   `toml:"max-tokens"`

	Service string `toml:"service"`
	Method  string `toml:"method"`
	// NonIdempotent means that the method may run at most once for a key.
	NonIdempotent bool `toml:"never-twice"`
	// ResendShare is the share of non-idempotent requests whose key is sent again.
	ResendShare float64 `toml:"resend-share"`
}

// LoadPlan reads and checks a plan file.
func LoadPlan(file string) (Plan, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Plan{}, errors.Wrap(err, "read plan")
	}
	return ParsePlan(file, data)
}

// ParsePlan reads and checks a plan. The error is a settings.Faults.
func ParsePlan(file string, data []byte) (Plan, error) {
	var p Plan
	c := settings.Checker{File: file}
	c.Decode(data, &p)
	p.check(c.Add)
	if err := c.Err(); err != nil {
		return Plan{}, err
	}
	return p.withDefaults(), nil
}

func (p Plan) check(add func(key, text string)) {
	if len(p.Targets) == 0 {
		add("targets", "needs at least one target")
	}
	if p.DirectShare < 0 || p.DirectShare >= 1 {
		add("direct-share", "must be at least 0 and below 1")
	}
	for i, t := range p.Targets {
		key := fmt.Sprintf("targets[%d]", i)
		if t.Name == "" || t.Customer == "" {
			add(key, "needs a name and a customer")
		}
		if math.IsNaN(t.Rate) || t.Rate <= 0 || t.Rate > maxRate {
			add(key+".rate", "must be above zero and at most 100000")
		}
		if (len(t.Models) == 0) == (t.Service == "") {
			add(key, "needs either models or a service")
		}
		if t.ResendShare < 0 || t.ResendShare > 1 {
			add(key+".resend-share", "must be from 0 to 1")
		}
	}
}

func (p Plan) withDefaults() Plan {
	if p.Length.Duration == 0 {
		p.Length.Duration = DefaultLength
	}
	p.Targets = slices.Clone(p.Targets)
	for i := range p.Targets {
		t := &p.Targets[i]
		if t.Deadline.Duration == 0 {
			t.Deadline.Duration = DefaultDeadline
		}
		if t.MaxTokens == 0 {
			t.MaxTokens = DefaultMaxTokens
		}
	}
	return p
}

// WithFactor returns the plan with all rates multiplied by f.
func (p Plan) WithFactor(f float64) Plan {
	p.Targets = slices.Clone(p.Targets)
	for i := range p.Targets {
		p.Targets[i].Rate *= f
	}
	return p
}

// WithLength returns the plan with the length of the run set to d.
func (p Plan) WithLength(d time.Duration) Plan {
	p.Length.Duration = d
	return p
}

// Request is one planned request.
type Request struct {
	// At is the intended start, counted from the start of the run.
	At time.Duration
	// TargetIndex is the index of the target in the plan.
	TargetIndex int
	// ID is unique within the run. A resent key has another ID.
	ID    string
	Model string
	// KeyNumber is the number of the request's key, 0 for none.
	KeyNumber int
	IsResend  bool // of an earlier key
	IsDirect  bool // to the upstream
}

// Schedule returns all requests in the order of their intended starts.
func (p Plan) Schedule() []Request {
	var out []Request
	key := 0
	for i, t := range p.Targets {
		rng := rand.New(rand.NewPCG(p.Seed, uint64(i)))
		end := p.Length.Duration
		if t.Until.Duration > 0 {
			end = min(end, t.Until.Duration)
		}
		for at := t.From.Duration + interarrival(rng, t.Rate); at < end; at += interarrival(rng, t.Rate) {
			r := Request{At: at, TargetIndex: i, ID: fmt.Sprintf("%s-%d-%d", t.Name, p.Seed, len(out))}
			r.IsDirect = rng.Float64() < p.DirectShare
			if len(t.Models) > 0 {
				r.Model = t.Models[rng.IntN(len(t.Models))]
			} else {
				key++
				r.KeyNumber = key
			}
			out = append(out, r)
			if t.NonIdempotent && !r.IsDirect && rng.Float64() < t.ResendShare {
				out = append(out, r.resent(rng))
			}
		}
	}
	slices.SortStableFunc(out, func(a, b Request) int { return cmp.Compare(a.At, b.At) })
	return out
}

// resent returns the request that sends the same key again after a random delay.
func (r Request) resent(rng *rand.Rand) Request {
	r.At += time.Duration(rng.Int64N(int64(maxResendDelay)))
	r.ID += "-again"
	r.IsResend = true
	return r
}

// interarrival returns a random time to the next arrival of a Poisson process
// with the rate in arrivals per second.
func interarrival(rng *rand.Rand, rate float64) time.Duration {
	return time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
}
