package entry

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/primrosedrift/primrosedrift/internal/checkpointer"
	"github.com/primrosedrift/primrosedrift/internal/locator"
	peerv1 "github.com/primrosedrift/primrosedrift/pkg/api/peer/v1"
)

// checkpointKey ranks the instances for the writing of checkpoints.
const checkpointKey = "checkpoint"

// peerStateTimeout bounds the wait for one peer's state.
const peerStateTimeout = 3 * time.Second

// wireCheckpoints makes the parts that write and find checkpoints.
func (e *Entry) wireCheckpoints() {
	log := e.Log.Named("checkpointer")
	e.checkpoint = &checkpointer.Writer{
		Keeper: &e.keeper, Submit: e.recorder.Submit, Earliest: e.tailer.Earliest,
		IsChosen: func() bool { return e.canAgree() && e.isFirst(checkpointKey) },
		OnWrite: func(bytes int, err error) {
			log.Info("checkpoint written", zap.Int("bytes", bytes), zap.Error(err))
		},
	}
	find := &checkpointer.Finder{
		Log: e.tailer.Log, Keeper: &e.keeper, Peers: e.peerStates,
		OnReplace: func(next uint64) {
			log.Info("state taken over", zap.Uint64("next-offset", next))
			e.recorder.Reset()
		},
	}
	e.tailer.Find = find.Find
}

// isFirst reports whether this instance ranks first for the key among the usable members.
func (e *Entry) isFirst(key string) bool {
	var cands []locator.Candidate
	for _, m := range e.watcher.Members() {
		if m.IsUsable() {
			cands = append(cands, locator.Candidate{Name: m.Name})
		}
	}
	rank := locator.Rank(key, cands)
	return len(rank) > 0 && rank[0].Name == e.Settings.Instance
}

// peerStates returns the states of the peers that answer.
func (e *Entry) peerStates(ctx context.Context) [][]byte {
	var out [][]byte
	for _, m := range e.watcher.Members() {
		if m.Name == e.Settings.Instance || m.Lost {
			continue
		}
		pctx, cancel := context.WithTimeout(ctx, peerStateTimeout)
		resp, err := e.watcher.Queries(m).State(pctx, &peerv1.StateRequest{})
		cancel()
		if err == nil && len(resp.GetState()) > 0 {
			out = append(out, resp.GetState())
		}
	}
	return out
}
