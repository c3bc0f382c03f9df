package entry

import (
	"context"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"github.com/primrosedrift/primrosedrift/internal/applier"
	"github.com/primrosedrift/primrosedrift/internal/explainer"
	"github.com/primrosedrift/primrosedrift/internal/publisher"
	"github.com/primrosedrift/primrosedrift/internal/recorder"
	"github.com/primrosedrift/primrosedrift/internal/watcher"
	operatorv1 "github.com/primrosedrift/primrosedrift/pkg/api/operator/v1"
	recordv1 "github.com/primrosedrift/primrosedrift/pkg/api/record/v1"
)

const publishTimeout = 10 * time.Second

type operatorCommands struct{ e *Entry }

// Publish changes the configuration if the base version of the request is in
// force. The result is accepted only after the change was read back from the log.
func (c *operatorCommands) Publish(ctx context.Context, req *connect.Request[operatorv1.PublishRequest]) (*connect.Response[operatorv1.PublishResponse], error) {
	if err := c.e.checkAccepts(); err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, errors.Newf("nothing was published: %v", err))
	}
	m := req.Msg
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	if faults := c.check(ctx, m); len(faults) > 0 {
		resp := &operatorv1.PublishResponse{Result: operatorv1.PublishResult_PUBLISH_RESULT_INVALID, Detail: strings.Join(faults, "\n")}
		resp.Version = c.e.configVersion()
		return connect.NewResponse(resp), nil
	}
	start := time.Now()
	e, err := c.e.recorder.Submit(ctx, &recordv1.Record{Kind: &recordv1.Record_ConfigChange{ConfigChange: &recordv1.ConfigChange{
		BaseVersion: m.GetBaseVersion(), Upserts: m.GetUpserts(), Deletes: m.GetDeletes(), Operator: m.GetOperator(),
	}}})
	resp := &operatorv1.PublishResponse{}
	switch {
	case errors.Is(err, recorder.ErrNotWritten):
		return nil, connect.NewError(connect.CodeUnavailable, errors.Newf("nothing was published: %v", err))
	case err != nil:
		resp.Result, resp.Detail = operatorv1.PublishResult_PUBLISH_RESULT_UNKNOWN, err.Error()
	case e.Counted:
		c.e.burn.recordPublish(time.Since(start))
		resp.Result = operatorv1.PublishResult_PUBLISH_RESULT_ACCEPTED
	default:
		resp.Result, resp.Detail = operatorv1.PublishResult_PUBLISH_RESULT_LOST_RACE, e.Reason
	}
	resp.Version = c.e.configVersion()
	if e.Counted {
		resp.Version = uint64(e.Position)
	}
	return connect.NewResponse(resp), nil
}

// check returns the faults of a configuration change, one line each. It waits
// until this instance has read the base version. If a newer version is in force,
// it returns none: the change is appended to the log and does not count there.
func (c *operatorCommands) check(ctx context.Context, m *operatorv1.PublishRequest) []string {
	for {
		changed := c.e.keeper.Changed()
		var version uint64
		var objects []*recordv1.ConfigObject
		c.e.keeper.View(func(s *applier.State) {
			version = s.Config.Version
			objects = s.Config.Objects()
		})
		if version == m.GetBaseVersion() {
			return publisher.Check(publisher.Apply(objects, publisher.Change{Upserts: m.GetUpserts(), Deletes: m.GetDeletes()}))
		}
		if version > m.GetBaseVersion() {
			return nil
		}
		select {
		case <-ctx.Done():
			return []string{"this instance has not read the base version"}
		case <-changed:
		}
	}
}

// configVersion returns the version of the configuration in force.
func (e *Entry) configVersion() uint64 {
	var v uint64
	e.keeper.View(func(s *applier.State) { v = s.Config.Version })
	return v
}

type operatorQueries struct{ e *Entry }

// Get returns the configuration in force, the replicas and the shards.
func (q *operatorQueries) Get(context.Context, *connect.Request[operatorv1.GetRequest]) (*connect.Response[operatorv1.GetResponse], error) {
	resp := &operatorv1.GetResponse{Instance: q.e.Settings.Instance}
	q.e.keeper.View(func(s *applier.State) {
		resp.Version = s.Config.Version
		resp.Objects = s.Config.Objects()
		resp.NextOffset = s.NextOffset
		s.EachReplica(func(r applier.Replica) bool {
			resp.Replicas = append(resp.Replicas, replicaView(r))
			return true
		})
		for id := range uint32(applier.ShardCount) {
			sh := s.Shard(id)
			v := &operatorv1.ShardView{
				Shard: id, Claim: uint64(sh.Holder.Claim), Instance: sh.Holder.Instance, Incarnation: sh.Holder.Incarnation,
			}
			for _, h := range sh.UnsettledHolders {
				v.Unsettled = append(v.Unsettled, uint64(h.Claim))
			}
			resp.Shards = append(resp.Shards, v)
		}
	})
	return connect.NewResponse(resp), nil
}

func replicaView(r applier.Replica) *operatorv1.ReplicaView {
	v := &operatorv1.ReplicaView{
		Id: r.ID, Model: r.Model, Upstream: r.Upstream, State: r.Phase.String(),
		MemoryBytes: r.Bytes, Reason: r.Reason, Position: uint64(r.DecidedAt),
	}
	for name, p := range r.Adapters {
		if p == applier.PhaseLoaded {
			v.Adapters = append(v.Adapters, name)
		}
	}
	return v
}

// Explain returns the events that concern a subject, with their reasons.
func (q *operatorQueries) Explain(_ context.Context, req *connect.Request[operatorv1.ExplainRequest]) (*connect.Response[operatorv1.ExplainResponse], error) {
	return connect.NewResponse(&operatorv1.ExplainResponse{
		Explanations: q.e.explainer.Explain(req.Msg.GetSubject(), int(req.Msg.GetLimit())),
	}), nil
}

// explainerMembers converts members to the type of the explainer.
func explainerMembers(members []watcher.Member) []explainer.Member {
	out := make([]explainer.Member, 0, len(members))
	for _, m := range members {
		out = append(out, explainer.Member{
			Name: m.Name, Incarnation: m.Incarnation, Addresses: []string{m.Address, m.CallerAddress},
			IsUsable: m.IsUsable(), IsLeaving: m.IsLeaving,
		})
	}
	return out
}
