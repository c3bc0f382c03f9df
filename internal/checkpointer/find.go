package checkpointer

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/primrosedrift/primrosedrift/internal/applier"
	"github.com/primrosedrift/primrosedrift/internal/keeper"
	platformv1 "github.com/primrosedrift/primrosedrift/pkg/api/platform/v1"
	"github.com/primrosedrift/primrosedrift/pkg/api/platform/v1/platformv1connect"
	recordv1 "github.com/primrosedrift/primrosedrift/pkg/api/record/v1"
)

const (
	boundsTimeout = 2 * time.Second
	findTimeout   = 2 * time.Minute
	// firstWindowEntries is the number of newest entries that are searched first.
	firstWindowEntries = 2 * DefaultEntryInterval
)

// Finder finds the state from which an instance starts. Log and Keeper must be set.
type Finder struct {
	Log    platformv1connect.LogQueriesClient
	Keeper *keeper.Keeper
	// Peers, if set, returns the encoded states of the peers that respond.
	Peers func(ctx context.Context) [][]byte
	// OnReplace, if set, is called after the state was replaced.
	OnReplace func(next uint64)
}

// Find replaces the keeper's state by the newest complete checkpoint of the log
// or, if it finds none there, by the newest state of the peers. It changes
// nothing if the state found does not include more of the log.
func (f *Finder) Find(ctx context.Context) error {
	s, err := f.findInLog(ctx)
	if s == nil && f.Peers != nil {
		for _, data := range f.Peers(ctx) {
			if p, perr := Decode(data); perr == nil && (s == nil || p.NextOffset > s.NextOffset) {
				s = p
			}
		}
	}
	if s == nil {
		return err
	}
	if f.Keeper.Replace(s) && f.OnReplace != nil {
		f.OnReplace(s.NextOffset)
	}
	return nil
}

// findInLog returns the newest complete checkpoint whose following entries are
// all still in the log, nil for none. It reads the newest entries first, since
// checkpoints are written regularly.
func (f *Finder) findInLog(ctx context.Context) (*applier.State, error) {
	bctx, cancel := context.WithTimeout(ctx, boundsTimeout)
	defer cancel()
	b, err := f.Log.Bounds(bctx, connect.NewRequest(&platformv1.BoundsRequest{}))
	if err != nil {
		return nil, errors.Wrap(err, "read the bounds of the log")
	}
	earliest, next := b.Msg.GetEarliestOffset(), b.Msg.GetNextOffset()
	for window := uint64(firstWindowEntries); ; window *= 4 {
		from := max(earliest, next-min(next, window))
		s, err := f.scan(ctx, from, next)
		if err != nil {
			return nil, err
		}
		if s != nil && s.NextOffset >= earliest {
			return s, nil
		}
		if from == earliest {
			return nil, nil
		}
	}
}

// scan reads the entries from offset from up to next, exclusive, and returns the
// newest complete checkpoint in them, nil for none.
func (f *Finder) scan(ctx context.Context, from, next uint64) (*applier.State, error) {
	if from >= next {
		return nil, nil
	}
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	stream, err := f.Log.Tail(ctx, connect.NewRequest(&platformv1.TailRequest{FromOffset: from}))
	if err != nil {
		return nil, errors.Wrap(err, "read log")
	}
	defer stream.Close()
	var a Assembler
	for stream.Receive() {
		for _, e := range stream.Msg().GetEntries() {
			addChunks(&a, e.GetPayload())
			if e.GetOffset()+1 >= next {
				return a.Newest, nil
			}
		}
	}
	return nil, errors.Wrap(stream.Err(), "read log")
}

func addChunks(a *Assembler, payload []byte) {
	var b recordv1.Batch
	if proto.Unmarshal(payload, &b) != nil {
		return
	}
	for _, r := range b.GetRecords() {
		if c := r.GetCheckpointChunk(); c != nil {
			a.Add(c)
		}
	}
}
