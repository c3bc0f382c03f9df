package replayer

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/primrosedrift/primrosedrift/internal/generator"
)

// Bench replays the traces of several seeds under several setups.
type Bench struct {
	Deployment generator.Deployment
	Options    generator.Options
	Seeds      []uint64
	Setups     []NamedSetup
	// Workers is the number of concurrent replays, 1 if zero.
	Workers int
}

// Row holds the results of one setup for all seeds.
type Row struct {
	Setup string `json:"setup"`
	// Results is ordered like Bench.Seeds.
	Results []Result `json:"results"`
}

// Run returns one row per setup. If ctx ends, it skips the remaining replays and
// returns the context's error.
func (b Bench) Run(ctx context.Context) ([]Row, error) {
	rows := make([]Row, len(b.Setups))
	for i, s := range b.Setups {
		rows[i] = Row{s.Name, make([]Result, len(b.Seeds))}
	}
	seeds := make(chan int)
	var wg sync.WaitGroup
	for range max(1, b.Workers) {
		wg.Go(func() {
			for j := range seeds {
				t := generator.Generate(b.Deployment, b.Seeds[j], b.Options)
				for i, s := range b.Setups {
					if ctx.Err() != nil {
						break
					}
					rows[i].Results[j] = Replay(t, s.Setup)
				}
			}
		})
	}
	for j := range b.Seeds {
		seeds <- j
	}
	close(seeds)
	wg.Wait()
	return rows, ctx.Err()
}

// Spread is the median, minimum and maximum of a value over all seeds.
type Spread struct {
	Median, Min, Max float64
}

// Spread returns the spread of a value over the row's seeds.
func (r Row) Spread(value func(Result) float64) Spread {
	list := make([]float64, 0, len(r.Results))
	for _, v := range r.Results {
		list = append(list, value(v))
	}
	slices.Sort(list)
	n := len(list)
	if n == 0 {
		return Spread{}
	}
	return Spread{(list[(n-1)/2] + list[n/2]) / 2, list[0], list[n-1]}
}

// Seconds returns f with its result in seconds, as Row.Spread needs it.
func Seconds(f func(Result) time.Duration) func(Result) float64 {
	return func(r Result) float64 { return f(r).Seconds() }
}
