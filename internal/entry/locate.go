package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"connectrpc.com/connect"

	"github.com/primrosedrift/primrosedrift/internal/folder"
	"github.com/primrosedrift/primrosedrift/internal/locator"
	"github.com/primrosedrift/primrosedrift/internal/watcher"
	callerv1 "github.com/primrosedrift/primrosedrift/pkg/api/caller/v1"
	"github.com/primrosedrift/primrosedrift/pkg/verdict"
)

// overloadedPart is the part of the queue, one in overloadedPart, from which on
// an instance is left out of answers.
const overloadedPart = 2

// Locate names the entry instances for a target. The holder of the model's
// shard ranks first, since the same hashing chooses both.
func (q *callerQueries) Locate(_ context.Context, req *connect.Request[callerv1.LocateRequest]) (*connect.Response[callerv1.LocateResponse], error) {
	target := req.Msg.GetTarget()
	resp := &callerv1.LocateResponse{KeepMs: uint32(q.e.Settings.Timing.LocateKeep.Milliseconds())}
	members := q.e.locatable()
	question := locator.Question{
		Key: locateKey(target), DataCentre: req.Msg.GetDataCentre(), Heat: q.e.tallier.Heat(target), Turn: rand.Uint64(),
	}
	for _, c := range locator.Locate(question, q.e.candidates(members)) {
		resp.Addresses = append(resp.Addresses, members[c.Name].CallerAddress)
	}
	if len(resp.GetAddresses()) == 0 {
		return nil, verdict.Refuse(verdict.ReasonStopping, time.Second, "no entry instance is in use").ToConnect("")
	}
	return connect.NewResponse(resp), nil
}

func locateKey(target string) string {
	return shardKey(folder.ShardOf(target))
}

// locatable returns the members that may be named to callers.
func (e *Entry) locatable() map[string]watcher.Member {
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
			Name: m.Name, DataCentre: m.DataCentre, Overloaded: int(m.Queued) >= e.Settings.Limits.QueuedRequests/overloadedPart,
		})
	}
	return out
}

// forwardTo returns the address of the instance that should serve a request
// that came here by an old answer, and whether there is one. A request that was
// forwarded before stays here. So does one that another instance could not
// serve better: if answers name this instance, or no other is known.
func (e *Entry) forwardTo(target string, forwarded bool) (string, bool) {
	if forwarded {
		return "", false
	}
	members := e.locatable()
	q := locator.Question{Key: locateKey(target), DataCentre: e.Settings.DataCentre, Heat: e.tallier.Heat(target), Turn: rand.Uint64()}
	cands := e.candidates(members)
	if len(cands) == 0 || locator.Names(q, cands, e.Settings.Instance) {
		return "", false
	}
	first := locator.Locate(q, cands)[0].Name
	return members[first].CallerAddress, first != e.Settings.Instance
}
