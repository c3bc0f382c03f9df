package arranger

import (
	"maps"
	"time"
)

// streamReturnTime is how long after a stream has broken its client may take it up again.
const streamReturnTime = 5 * time.Second

// Streams remembers where streams ran lately: while upstreams have several versions of their
// software, a client can take its stream up again at the same version only. The zero value is
// ready to use.
type Streams struct{ lately map[modelWith]lately }

// lately is the greatest number of requests that ran since a time.
type lately struct {
	running int
	since   time.Time
}

// Observe adds to the demands of the fleet how many streams may be taken up again, for each model
// and version, if there are several versions. It takes each running request for a stream.
func (s *Streams) Observe(f *Fleet) {
	running := make(map[modelWith]int)
	versions := make(map[string]bool)
	for _, u := range f.Upstreams {
		versions[u.Software] = true
		for _, r := range u.Models {
			if r.Running > 0 {
				running[modelWith{r.Model, u.Software}] += r.Running
			}
		}
	}
	maps.DeleteFunc(s.lately, func(_ modelWith, l lately) bool { return f.Now.Sub(l.since) > streamReturnTime })
	if s.lately == nil {
		s.lately = make(map[modelWith]lately)
	}
	for k, n := range running {
		if n >= s.lately[k].running {
			s.lately[k] = lately{n, f.Now}
		}
	}
	if len(versions) < 2 {
		return
	}
	for k, l := range s.lately {
		f.Demands = append(f.Demands, Demand{Model: k.model, Software: &k.software, MayReturn: l.running})
	}
}
