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
type Streams struct{ peaks map[modelWith]peak }

// peak is the greatest number of requests that ran since a time.
type peak struct {
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
	maps.DeleteFunc(s.peaks, func(_ modelWith, l peak) bool { return f.Now.Sub(l.since) > streamReturnTime })
	if s.peaks == nil {
		s.peaks = make(map[modelWith]peak)
	}
	for k, n := range running {
		if n >= s.peaks[k].running {
			s.peaks[k] = peak{n, f.Now}
		}
	}
	if len(versions) < 2 {
		return
	}
	for k, l := range s.peaks {
		f.Demands = append(f.Demands, Demand{Model: k.model, Software: &k.software, MayReturn: l.running})
	}
}
