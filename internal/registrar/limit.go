package registrar

// limit is the number of requests a second that an incarnation takes from all instances
// together.
type limit struct {
	startedAtMs int64
	isLimited   bool
	rate        float64
}

// recordLimit records whether an incarnation limits the requests that it takes.
func (t *Table) recordLimit(i Incarnation, n Notice) {
	t.mu.Lock()
	t.initLocked()
	known := t.limits[i.ID]
	isKnown := known.startedAtMs == i.StartedAtMs && known.isLimited
	if n.IsLimited == isKnown && (!isKnown || n.RequestRate == known.rate) {
		t.mu.Unlock()
		return
	}
	t.limits[i.ID] = limit{i.StartedAtMs, n.IsLimited, n.RequestRate}
	t.mu.Unlock()
	if t.OnLimit != nil {
		t.OnLimit(i, n.IsLimited, n.RequestRate)
	}
}
