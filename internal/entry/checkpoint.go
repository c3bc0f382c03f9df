package entry

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/primrosedrift/primrosedrift/internal/checkpointer"
	"github.com/primrosedrift/primrosedrift/internal/locator"
	peerv1 "github.com/primrosedrift/primrosedrift/pkg/api/peer/v1"
)

// checkpointKey is the key for which the instances are ranked to choose the one
// that writes checkpoints.
const checkpointKey = "checkpoint"

// peerStateTimeout is the timeout for fetching the state of one peer.
const peerStateTimeout = 3 * time.Second

// wireCheckpoints creates the components that write and find checkpoints.
func (e *Entry) wireCheckpoints() {
	log := e.Log.Named("checkpointer")
	e.checkpoint = &checkpointer.Writer{
		Keeper: &e.keeper, Submit: e.recorder.Submit, EarliestOffset: e.tailer.EarliestOffset,
		IsChosen: func() bool { return e.isLogAvailable() && e.ranksFirst(checkpointKey) },
		OnWrite: func(bytes int, err error) {
			log.Info("checkpoint written", zap.Int("bytes", bytes), zap.Error(err))
		},
	}
	finder := &checkpointer.Finder{
		Log: e.tailer.Log, Keeper: &e.keeper, Peers: e.peerStates,
		OnReplace: func(next uint64) {
			log.Info("state replaced by a checkpoint or the state of a peer", zap.Uint64("next-offset", next))
			e.recorder.Reset()
		},
	}
	e.tailer.FindState = finder.Find
}

// ranksFirst reports whether this instance ranks first for the key among the
// usable members.
func (e *Entry) ranksFirst(key string) bool {
	var cands []locator.Candidate
	for _, m := range e.watcher.Members() {
		if m.IsUsable() {
			cands = append(cands, locator.Candidate{Name: m.Name})
		}
	}
	ranked := locator.Rank(key, cands)
	return len(ranked) > 0 && ranked[0].Name == e.Settings.Instance
}

// peerStates returns the encoded states of the peers that respond.
func (e *Entry) peerStates(ctx context.Context) [][]byte {
	var out [][]byte
	for _, m := range e.watcher.Members() {
		if m.Name == e.Settings.Instance || m.IsUnreachable {
			continue
		}
		peerCtx, cancel := context.WithTimeout(ctx, peerStateTimeout)
		resp, err := e.watcher.Queries(m).State(peerCtx, &peerv1.StateRequest{})
		cancel()
		if err == nil && len(resp.GetState()) > 0 {
			out = append(out, resp.GetState())
		}
	}
	return out
}
