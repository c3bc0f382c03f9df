package losstracker

import (
	"runtime"
	"testing"
)

// heapBytes returns the bytes of live objects.
func heapBytes() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkTrackerBytes reports the memory of a full tracker, by request: each has
// PoisonThreshold losses, all of them undecided.
func BenchmarkTrackerBytes(b *testing.B) {
	for b.Loop() {
		before := heapBytes()
		tr := newTracker()
		for n := range maxRequests {
			for k := range PoisonThreshold {
				tr.MergeReport([]Loss{{Fingerprint: uint64(n), Incarnation: inc(k)}}, start)
			}
		}
		b.ReportMetric(float64(heapBytes()-before)/maxRequests, "B/request")
		runtime.KeepAlive(tr)
	}
}

// BenchmarkLosses measures the lookup that each request makes twice.
func BenchmarkLosses(b *testing.B) {
	tr := newTracker()
	for n := range maxRequests {
		tr.MergeReport([]Loss{{Fingerprint: uint64(n), Incarnation: inc(1), IsConfirmed: true}}, start)
	}
	n := uint64(0)
	for b.Loop() {
		tr.Losses(n%(2*maxRequests), start)
		n++
	}
}

// BenchmarkAttempt measures what an attempt at an upstream costs.
func BenchmarkAttempt(b *testing.B) {
	tr := newTracker()
	n := uint64(0)
	for b.Loop() {
		tr.Begin(inc1, n).End(Succeeded, start)
		n++
	}
}

var inc1 = inc(1)

// BenchmarkAcquittedBytes reports the memory of the parts that are known to be sound, by
// part.
func BenchmarkAcquittedBytes(b *testing.B) {
	for b.Loop() {
		before := heapBytes()
		tr := newTracker()
		for n := range maxAcquitted {
			tr.Begin(inc1, 1, uint64(n)).End(Succeeded, start)
		}
		b.ReportMetric(float64(heapBytes()-before)/maxAcquitted, "B/part")
		runtime.KeepAlive(tr)
	}
}

// BenchmarkAttemptWithParts measures what an attempt with three parts costs.
func BenchmarkAttemptWithParts(b *testing.B) {
	tr := newTracker()
	n := uint64(0)
	for b.Loop() {
		a, _ := tr.TryBegin(inc1, n, []uint64{1, 2 + n%240, 1000 + n}, false, start)
		a.RecordSurvival(start)
		a.End(Succeeded, start)
		n++
	}
}
