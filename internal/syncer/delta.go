package syncer

import (
	"slices"
	"time"

	"github.com/primrosedrift/primrosedrift/internal/registrar"
	peerv1 "github.com/primrosedrift/primrosedrift/pkg/api/peer/v1"
)

// delta reduces the responses to watchers to the changes since their last response.
// Adapters are loaded and unloaded dozens of times a second, and a whole view for
// each of these changes would be most of the traffic between instances. Its zero
// value is ready to use.
//
// A change is recorded with the version after the current one, since it may be
// observed before the version is increased for it.
type delta struct {
	views     map[string]versionedView // by upstream
	responses map[string]response      // the last ones, by instance
	// lastNumber is the last number that was given to an upstream. Numbers are shorter
	// than ids, and the counts of running attempts change all the time.
	lastNumber uint32
	// lossesVersion, leavingVersion, limitsVersion, lendersVersion and defaultsVersion are the versions of the
	// last change of the losses, of the leaving upstreams, of their limits, and of the
	// lenders of quotas.
	lossesVersion, leavingVersion, limitsVersion, lendersVersion, defaultsVersion uint64
	// restartVersions are the versions of the last change of what is known of restarts, by
	// upstream.
	restartVersions map[string]uint64
}

type versionedView struct {
	registrar.View
	version uint64 // of its last change
	number  uint32
}

// response is the last response that was sent to an instance.
type response struct {
	number  uint64
	version uint64
	running map[string]int // number of attempts of other instances, by upstream
	// lossesTold is the version of the losses up to which the instance was told.
	lossesTold uint64
}

// viewChanges holds what was loaded at some upstream, and what was removed from one.
type viewChanges struct{ loaded, removed map[loadable]bool }

// record sets the version of the views that have changed, and drops those of
// upstreams that are no longer listed.
func (d *delta) record(views []registrar.View, version uint64) viewChanges {
	if d.views == nil {
		d.views, d.responses = make(map[string]versionedView), make(map[string]response)
	}
	c := viewChanges{make(map[loadable]bool), make(map[loadable]bool)}
	isListed := make(map[string]bool, len(views))
	for _, v := range views {
		isListed[v.ID] = true
		if old, ok := d.views[v.ID]; !ok || !equalExceptRunning(old.View, v) {
			c.add(old.Models, v.Models)
			if !ok {
				d.lastNumber++
				old.number = d.lastNumber
			}
			d.views[v.ID] = versionedView{v, version + 1, old.number}
		}
	}
	for id, old := range d.views {
		if !isListed[id] {
			c.add(old.Models, nil)
			delete(d.views, id)
		}
	}
	return c
}

// add adds the changes from the models of an upstream before to those after.
func (c viewChanges) add(before, after []registrar.Model) {
	was, is := loadedAt(before), loadedAt(after)
	for l := range was {
		if !is[l] {
			c.removed[l] = true
		}
	}
	for l := range is {
		if !was[l] {
			c.loaded[l] = true
		}
	}
}

// loadedAt returns what an upstream has loaded.
func loadedAt(models []registrar.Model) map[loadable]bool {
	out := make(map[loadable]bool)
	for _, m := range models {
		if m.ReadyAt.IsZero() {
			out[loadable{m.Name, ""}] = true
		}
		for _, a := range m.Adapters {
			out[loadable{m.Name, a}] = true
		}
	}
	return out
}

// equalExceptRunning reports whether two views are equal except for the number of
// running attempts.
func equalExceptRunning(a, b registrar.View) bool {
	return a.StartedAtMs == b.StartedAtMs && a.NumOrders == b.NumOrders && a.FailureEstimate == b.FailureEstimate &&
		slices.EqualFunc(a.Models, b.Models, func(x, y registrar.Model) bool {
			return x.Name == y.Name && x.Version == y.Version && x.ReadyAt.Equal(y.ReadyAt) && slices.Equal(x.Adapters, y.Adapters)
		})
}

// base returns the version on which the next response to the instance can build.
// It returns 0 if the response must be a whole view, because the instance did not
// receive the last response. responseNumber is the last that it has received.
func (d *delta) base(instance string, responseNumber uint64) uint64 {
	if r, ok := d.responses[instance]; ok && r.number == responseNumber {
		return r.version
	}
	return 0
}

// fill adds to a response the upstreams that have changed since its base, and the
// changed numbers of running attempts at the others. own is the number of attempts
// of the instance itself by upstream; it is subtracted, since the instance counts
// its own attempts.
func (d *delta) fill(out *peerv1.WatchResponse, instance string, views []registrar.View, own map[string]int, now time.Time) {
	last := d.responses[instance]
	out.Answer = last.number + 1
	running := make(map[string]int, len(views))
	for _, v := range views {
		n := max(0, v.Running-own[v.ID])
		running[v.ID] = n
		switch {
		case out.Base == 0 || d.views[v.ID].version > out.Base:
			u := encodeView(v, n, now)
			u.Number = d.views[v.ID].number
			out.Upstreams = append(out.Upstreams, u)
		case last.running[v.ID] != n:
			out.Runs = append(out.Runs, &peerv1.CopyRun{Number: d.views[v.ID].number, Running: uint32(n)})
		}
	}
	d.responses[instance] = response{number: out.Answer, version: out.Version, running: running}
}

func (d *delta) recordLossesTold(instance string, version uint64) {
	if r, ok := d.responses[instance]; ok {
		r.lossesTold = version
		d.responses[instance] = r
	}
}
