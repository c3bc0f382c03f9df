package entry

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/primrosedrift/primrosedrift/internal/applier"
	"github.com/primrosedrift/primrosedrift/internal/checkpointer"
	"github.com/primrosedrift/primrosedrift/internal/controller"
	peerv1 "github.com/primrosedrift/primrosedrift/pkg/api/peer/v1"
)

func shardKey(shard uint32) string {
	return controller.ShardKey(shard)
}

type peerCommands struct{ e *Entry }

// Want receives a peer's demand for models whose shards this instance holds.
func (c *peerCommands) Want(_ context.Context, req *peerv1.WantRequest) (*peerv1.WantResponse, error) {
	holds := true
	c.e.keeper.View(func(s *applier.State) {
		for _, d := range req.GetDemands() {
			sh := s.Shard(applier.ShardOf(d.GetModel()))
			holds = holds && !sh.IsReleased && sh.Holder.Incarnation == c.e.Incarnation
		}
	})
	c.e.tallier.Receive(req, time.Now())
	return &peerv1.WantResponse{Holds: holds}, nil
}

// Evict requests that the next plan unloads the replica if it is idle.
func (c *peerCommands) Evict(_ context.Context, req *peerv1.EvictRequest) (*peerv1.EvictResponse, error) {
	return &peerv1.EvictResponse{Accepted: c.e.controller.Evict(req, time.Now())}, nil
}

type peerQueries struct{ e *Entry }

// Status returns the status of this instance.
func (q *peerQueries) Status(_ context.Context, req *peerv1.StatusRequest) (*peerv1.StatusResponse, error) {
	q.e.watcher.RecordQuery(req.GetInstance(), req.GetIncarnation())
	return &peerv1.StatusResponse{
		Instance: q.e.Settings.Instance, Incarnation: q.e.Incarnation, Leaving: q.e.watcher.IsLeaving(),
		NextOffset: q.e.keeper.NextOffset(), CallerAddress: q.e.Settings.Listen.Caller,
		Queued:           uint32(q.e.dispatcher.Admitter.Waiting()),
		LeavingUpstreams: q.e.monitor.LeavingIncarnations(),
	}, nil
}

// State returns the encoded state to a peer that starts without one.
func (q *peerQueries) State(context.Context, *peerv1.StateRequest) (*peerv1.StateResponse, error) {
	if !q.e.tailer.HasState() {
		return &peerv1.StateResponse{}, nil
	}
	data, next, err := checkpointer.Snapshot(&q.e.keeper)
	if err != nil {
		return nil, errors.Wrap(err, "state")
	}
	return &peerv1.StateResponse{NextOffset: next, State: data}, nil
}
