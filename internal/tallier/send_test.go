package tallier

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	peerv1 "github.com/primrosedrift/primrosedrift/pkg/api/peer/v1"
)

// TestHolderIsAskedWithoutTheLock checks the lock order: whoever views the
// state may take the tally, so the tally must not view the state under its lock.
func TestHolderIsAskedWithoutTheLock(t *testing.T) {
	var tl Tallier
	tl.Instance = "entry-1"
	tl.Holder = func(string) string {
		tl.Take(time.Now(), func(string) bool { return false })
		return "entry-2"
	}
	sent := make(chan *peerv1.WantRequest, 1)
	tl.Send = func(_ context.Context, _ string, req *peerv1.WantRequest) error {
		sent <- req
		return nil
	}
	tl.Wait(Target{Model: "levy-status"}, 1, time.Now().Add(time.Minute))
	go tl.send(context.Background(), true)
	select {
	case req := <-sent:
		require.Len(t, req.GetDemands(), 1)
	case <-time.After(30 * time.Second):
		t.Fatal("the tally asked for the holder under its lock")
	}
}
