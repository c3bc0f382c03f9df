package registrar

import "time"

// brittleTTL is how long a service counts as brittle after an upstream has said so. Brittle
// upstreams say so in each response.
const brittleTTL = 10 * time.Second

// BrittleService says that upstreams of a service are brittle: they fall over if they have to
// turn away many requests.
type BrittleService struct {
	Service string
	Age     time.Duration // since an upstream has said so
}

func (t *Table) recordBrittle(id string, now time.Time) {
	t.mu.Lock()
	u := t.registrations[id]
	t.mu.Unlock()
	if u != nil {
		t.MergeBrittle([]BrittleService{{Service: u.Service}}, now)
	}
}

// MergeBrittle merges what this instance or another one knows of brittle services.
func (t *Table) MergeBrittle(list []BrittleService, now time.Time) {
	for _, b := range list {
		t.mu.Lock()
		if t.brittleAt == nil {
			t.brittleAt = make(map[string]time.Time)
		}
		at, known := now.Add(-b.Age), t.brittleAt[b.Service]
		isNew := now.Sub(known) >= brittleTTL && now.Sub(at) < brittleTTL
		if at.After(known) {
			t.brittleAt[b.Service] = at
		}
		t.mu.Unlock()
		if isNew && t.OnBrittle != nil {
			t.OnBrittle(b.Service)
		}
	}
}

// IsBrittle reports whether the upstreams of a service are brittle.
func (t *Table) IsBrittle(service string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	at, ok := t.brittleAt[service]
	return ok && now.Sub(at) < brittleTTL
}

// Brittle returns the services whose upstreams are brittle.
func (t *Table) Brittle(now time.Time) []BrittleService {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []BrittleService
	for service, at := range t.brittleAt {
		if age := now.Sub(at); age < brittleTTL {
			out = append(out, BrittleService{service, age})
		}
	}
	return out
}
