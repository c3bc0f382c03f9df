package linkwatcher

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

var errTimeout = errors.New("i/o timeout")

func newWatcher(numUpstreams int, dial func(address string) error) (*Watcher, []string) {
	var all []string
	for n := range numUpstreams {
		all = append(all, fmt.Sprint("u", n))
	}
	return &Watcher{
		Addresses: func() []string { return append([]string(nil), all...) },
		Dial:      func(_ context.Context, a string) error { return dial(a) },
		Log:       zap.NewNop(),
	}, all
}

func TestCutIsToldFromBrokenUpstreams(t *testing.T) {
	now := time.Now()
	for name, tt := range map[string]struct {
		numUpstreams int
		failed       []string // connections of requests
		good         string   // one that succeeds after these
		isUp         func(address string) bool
		want         bool
	}{
		"cut":                         {15, []string{"u0", "u1"}, "", func(string) bool { return false }, true},
		"one broken upstream":         {15, []string{"u0", "u0", "u0"}, "", func(a string) bool { return a != "u0" }, false},
		"cut, one upstream is used":   {15, []string{"u0", "u0", "u0"}, "", func(string) bool { return false }, true},
		"a single failure":            {15, []string{"u0"}, "", func(string) bool { return false }, false},
		"a third crashes":             {15, []string{"u0", "u1", "u2", "u3", "u4"}, "", func(a string) bool { return a > "u4" || len(a) > 2 }, false},
		"another connection succeeds": {15, []string{"u0", "u1"}, "u2", func(string) bool { return false }, false},
		"two upstreams in all":        {2, []string{"u0", "u1"}, "", func(string) bool { return false }, true},
	} {
		t.Run(name, func(t *testing.T) {
			w, _ := newWatcher(tt.numUpstreams, func(a string) error {
				if tt.isUp(a) {
					return nil
				}
				return errTimeout
			})
			for _, a := range tt.failed {
				w.Record(a, errTimeout, now)
			}
			if tt.good != "" {
				w.Record(tt.good, nil, now)
			}
			if w.IsDoubtful() {
				w.round(t.Context())
			}
			require.Equal(t, tt.want, w.IsCut())
		})
	}
}

func TestLinksAreBackWhenHalfOfARoundConnects(t *testing.T) {
	numUp := 0
	w, _ := newWatcher(4, func(a string) error {
		if a < fmt.Sprint("u", numUp) {
			return nil
		}
		return errTimeout
	})
	var changes []bool
	w.OnChange = func(isCut bool) { changes = append(changes, isCut) }
	w.Record("u0", errTimeout, time.Now())
	w.Record("u1", errTimeout, time.Now())
	cut := w.Cut()
	w.round(t.Context())
	<-cut
	numUp = 1
	w.round(t.Context())
	require.True(t, w.IsCut())
	w.Record("u0", nil, time.Now())
	require.True(t, w.IsCut(), "one upstream is not enough")
	numUp = 2
	w.round(t.Context())
	require.False(t, w.IsCut())
	require.False(t, w.IsDoubtful())
	require.Equal(t, []bool{true, false}, changes)
	select {
	case <-w.Cut():
		t.Fatal("the links are back")
	default:
	}
}

func TestCanceledConnectionsDoNotCount(t *testing.T) {
	w, all := newWatcher(4, func(string) error { return nil })
	for _, a := range all {
		w.Record(a, errors.Wrap(context.Canceled, "dial"), time.Now())
	}
	require.False(t, w.IsDoubtful())
}

// TestRequestWaitsUntilADoubtIsSettled guards against a request that uses up its attempts before
// the links are known to be cut.
func TestRequestWaitsUntilADoubtIsSettled(t *testing.T) {
	w, _ := newWatcher(4, func(string) error { return errTimeout })
	w.Settle(t.Context()) // no doubt
	w.Record("u0", errTimeout, time.Now())
	w.Record("u1", errTimeout, time.Now())
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go w.Run(ctx)
	w.Settle(t.Context())
	require.True(t, w.IsCut())
}
