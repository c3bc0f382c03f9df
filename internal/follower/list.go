package follower

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/primrosedrift/primrosedrift/internal/clocker"
	"github.com/primrosedrift/primrosedrift/internal/sequencer"
)

// list reads and applies the newest record of each key. first is the first offset
// that the log had before the listing, -1 if it is not known.
func (f *Follower) list(ctx context.Context, first int64) error {
	var all []Record
	sentAt := clocker.SinceStart()
	after, next := "", sequencer.Position{Offset: first}
	for isFirst := true; ; isFirst = false {
		page, err := f.newestPage(ctx, after)
		switch {
		case err != nil:
			return err
		case isFirst:
			f.mu.Lock()
			isEraKnown := f.next.Era == page.End.Era
			f.mu.Unlock()
			next.Era = page.End.Era
			if first < 0 || !isEraKnown {
				next.Offset = newestOffset(page.Records, page.End.Offset) + 1
			}
		case page.End.Era != next.Era:
			return RestoredError{page.End.Era}
		}
		all = append(all, page.Records...)
		if !page.HasMore || len(page.Records) == 0 {
			break
		}
		after = page.Records[len(page.Records)-1].Key
	}
	f.Log.Info("topic listed", zap.String("topic", f.Name), zap.Int("records", len(all)),
		zap.Int64("newest", newestOffset(all, next.Offset)), zap.Int64("next", next.Offset), zap.Int64("era", next.Era))
	f.mu.Lock()
	isFirst := !f.hasRead
	f.mu.Unlock()
	if isFirst && next.Era > sequencer.FirstEra {
		if b, ok := f.askPeers(ctx, next.Era); ok {
			f.apply(b, sentAt)
			return nil
		}
	}
	f.apply(Batch{Records: all, Next: next, IsComplete: true, IsCurrent: true}, sentAt)
	return nil
}

// newestPage returns a page of a listing. The first page of a first listing that is
// hedged is requested again every hedgeInterval until a call ends.
func (f *Follower) newestPage(ctx context.Context, after string) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, callMargin)
	defer cancel()
	f.mu.Lock()
	hasRead := f.hasRead
	f.mu.Unlock()
	if !f.HedgesListing || hasRead || after != "" {
		return f.Topic.Newest(ctx, after)
	}
	type result struct {
		page Page
		err  error
	}
	results := make(chan result, int(callMargin/hedgeInterval)+1)
	tick := time.NewTicker(hedgeInterval)
	defer tick.Stop()
	for {
		go func() {
			page, err := f.Topic.Newest(ctx, after)
			results <- result{page, err}
		}()
		select {
		case r := <-results:
			return r.page, r.err
		case <-tick.C:
		}
	}
}

// newestOffset returns the offset of the newest record, or the last offset before
// the end if there are no records.
func newestOffset(records []Record, end int64) int64 {
	if len(records) == 0 {
		return end - 1
	}
	newest := records[0].Offset
	for _, r := range records {
		newest = max(newest, r.Offset)
	}
	return newest
}
