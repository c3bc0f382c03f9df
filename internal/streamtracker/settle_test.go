package streamtracker

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/primrosedrift/primrosedrift/internal/versioner"
)

// TestSettlerReportsOnlyWhatIsSaved guards against a stream that goes on at the new default version because its
// instance has reported origins as saved that the log does not have.
func TestSettlerReportsOnlyWhatIsSaved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		follower := &versioner.Follower{}
		k := &Keeper{Tracker: &Tracker{}, History: &History{}, Defaults: follower, Log: zap.NewNop()}
		var saved []string
		var saveErr error
		s := &Settler{Keeper: k, SaveAll: func(_ context.Context, list []Origin) error {
			if saveErr == nil {
				for _, o := range list {
					saved = append(saved, o.Stream)
				}
			}
			return saveErr
		}}
		requireSettled := func(want map[string]int64) {
			t.Helper()
			s.settleAll(t.Context())
			require.Equal(t, want, s.Settled(time.Now()))
			time.Sleep(settleRetryInterval)
		}
		follow := func(revision int64, version string) {
			follower.Update(map[string]versioner.Defaults{service: {Versions: map[string]string{"": version}, Revision: revision}}, time.Now())
		}
		requireSettled(map[string]int64{})
		follow(1, "v1")
		requireSettled(map[string]int64{service: 1})

		o := Origin{Stream: "a", Service: service, Software: "v1", Attempt: 1, TTL: time.Minute}
		k.Bind(o, false, nil)
		ended := o
		ended.Stream = "ended"
		k.Bind(ended, false, nil)
		k.Tracker.RecordEnd("ended")
		time.Sleep(receiptTime)
		isProven := false
		unproven := o
		unproven.Stream, unproven.IsUnproven = "unproven", true
		k.Bind(unproven, false, func(context.Context) bool { return isProven })
		k.Tracker.Record(Origin{Stream: "attempt", Service: service, Software: "v1", Attempt: 1, TTL: time.Minute}, time.Now())
		require.Empty(t, saved)
		follow(2, "v2")
		requireSettled(map[string]int64{})
		isProven, saveErr = true, errDown
		requireSettled(map[string]int64{})
		require.Empty(t, saved)
		saveErr = nil
		requireSettled(map[string]int64{service: 2})
		require.ElementsMatch(t, []string{"a", "unproven"}, saved)
		follow(3, "v1")
		require.Empty(t, s.Settled(time.Now()), "another revision is followed")
		time.Sleep(time.Minute)
	})
}
