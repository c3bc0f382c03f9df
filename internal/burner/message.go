package burner

import (
	"maps"
	"slices"
	"time"

	operatorv1 "github.com/primrosedrift/primrosedrift/pkg/api/operator/v1"
)

// Message returns the snapshot as a message of the operator API.
func (s Snapshot) Message() *operatorv1.BurnResponse {
	out := &operatorv1.BurnResponse{Instance: s.Instance, RemembersMs: s.CountedFor.Milliseconds(), Dropped: s.Dropped}
	for k, counts := range s.Series {
		v := &operatorv1.BurnSeries{Customer: k.Customer, RequestClass: k.Class, Objective: string(k.Objective)}
		for i, c := range counts {
			w := &operatorv1.BurnWindow{LengthMs: Windows[i].Milliseconds(), Good: c.Good, Bad: c.Bad}
			for _, r := range slices.Sorted(maps.Keys(c.Reasons)) {
				w.Reasons = append(w.Reasons, &operatorv1.BurnReason{Reason: r, Count: c.Reasons[r]})
			}
			v.Windows = append(v.Windows, w)
		}
		out.Series = append(out.Series, v)
	}
	return out
}

// FromMessage returns the snapshot in a message of the operator API. It ignores
// windows whose length is not in Windows.
func FromMessage(m *operatorv1.BurnResponse) Snapshot {
	s := Snapshot{
		Instance: m.GetInstance(), CountedFor: time.Duration(m.GetRemembersMs()) * time.Millisecond,
		Dropped: m.GetDropped(), Series: make(map[Key][]Count),
	}
	for _, v := range m.GetSeries() {
		counts := make([]Count, len(Windows))
		for _, w := range v.GetWindows() {
			i := slices.Index(Windows, time.Duration(w.GetLengthMs())*time.Millisecond)
			if i < 0 {
				continue
			}
			counts[i] = Count{Good: w.GetGood(), Bad: w.GetBad(), Reasons: make(map[string]uint64)}
			for _, r := range w.GetReasons() {
				counts[i].Reasons[r.GetReason()] = r.GetCount()
			}
		}
		s.Series[Key{v.GetCustomer(), v.GetRequestClass(), Objective(v.GetObjective())}] = counts
	}
	return s
}
