package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"connectrpc.com/connect"

	"github.com/primrosedrift/primrosedrift/internal/applier"
	"github.com/primrosedrift/primrosedrift/internal/locator"
	"github.com/primrosedrift/primrosedrift/internal/watcher"
	callerv1 "github.com/primrosedrift/primrosedrift/pkg/api/caller/v1"
	"github.com/primrosedrift/primrosedrift/pkg/verdict"
)

// overloadQueueDivisor sets the overload threshold: an instance whose queue is
// filled to 1/overloadQueueDivisor of its limit counts as overloaded and is left
// out of the responses of Locate.
const overloadQueueDivisor = 2

// Locate returns the addresses of the entry instances for a target. The holder of
// the model's shard ranks first, because the same hash chooses both.
func (q *callerQueries) Locate(_ context.Context, req *connect.Request[callerv1.LocateRequest]) (*connect.Response[callerv1.LocateResponse], error) {
	target := req.Msg.GetTarget()
	resp := &callerv1.LocateResponse{KeepMs: uint32(q.e.Settings.Timing.LocateKeep.Milliseconds())}
	members := q.e.locatableMembers()
	locateRequest := locator.Request{
		Key: locateKey(target), DataCentre: req.Msg.GetDataCentre(), NumRequests: q.e.tallier.NumRequests(target), Rotation: rand.Uint64(),
	}
	for _, c := range locator.Locate(locateRequest, q.e.candidates(members)) {
		resp.Addresses = append(resp.Addresses, members[c.Name].CallerAddress)
	}
	if len(resp.GetAddresses()) == 0 {
		return nil, verdict.Refuse(verdict.ReasonStopping, time.Second, "no entry instance is in use").ToConnect("")
	}
	return connect.NewResponse(resp), nil
}

func locateKey(target string) string {
	return shardKey(applier.ShardOf(target))
}

// locatableMembers returns the members that Locate may return, by name.
func (e *Entry) locatableMembers() map[string]watcher.Member {
	out := make(map[string]watcher.Member)
	for _, m := range e.watcher.Members() {
		if m.Name == e.Settings.Instance {
			m.Queued = uint32(e.dispatcher.Admitter.Waiting())
		}
		if m.IsUsable() && m.CallerAddress != "" {
			out[m.Name] = m
		}
	}
	return out
}

func (e *Entry) candidates(members map[string]watcher.Member) []locator.Candidate {
	out := make([]locator.Candidate, 0, len(members))
	for _, m := range members {
		out = append(out, locator.Candidate{
			Name: m.Name, DataCentre: m.DataCentre, IsOverloaded: int(m.Queued) >= e.Settings.Limits.QueuedRequests/overloadQueueDivisor,
		})
	}
	return out
}

// forwardAddress returns the address of the instance to which a request should be
// forwarded, and whether there is one. Requests that belong to other instances
// arrive here if the caller has cached an older response of Locate. A request
// stays here if it was forwarded before, if Locate still returns this instance
// for the target, or if no other instance is known.
func (e *Entry) forwardAddress(target string, forwarded bool) (string, bool) {
	if forwarded {
		return "", false
	}
	members := e.locatableMembers()
	q := locator.Request{Key: locateKey(target), DataCentre: e.Settings.DataCentre, NumRequests: e.tallier.NumRequests(target), Rotation: rand.Uint64()}
	cands := e.candidates(members)
	if len(cands) == 0 || locator.Includes(q, cands, e.Settings.Instance) {
		return "", false
	}
	name := locator.Locate(q, cands)[0].Name
	return members[name].CallerAddress, name != e.Settings.Instance
}
