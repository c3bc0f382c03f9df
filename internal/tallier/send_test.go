package tallier

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	peerv1 "github.com/primrosedrift/primrosedrift/pkg/api/peer/v1"
)

// TestHolderIsCalledWithoutLock checks the lock order: Holder takes the lock of
// the replicated state, and a caller that has this lock may call TakeDemand. With the
// Tallier's lock taken during the call of Holder the two would deadlock.
func TestHolderIsCalledWithoutLock(t *testing.T) {
	var tl Tallier
	tl.Instance = "entry-1"
	tl.Holder = func(string) string {
		tl.TakeDemand(time.Now(), func(string) bool { return false })
		return "entry-2"
	}
	sent := make(chan *peerv1.WantRequest, 1)
	tl.Send = func(_ context.Context, _ string, req *peerv1.WantRequest) error {
		sent <- req
		return nil
	}
	tl.Add(Target{Model: "levy-status"}, 1, time.Now().Add(time.Minute))
	go tl.send(context.Background(), true)
	select {
	case req := <-sent:
		require.Len(t, req.GetDemands(), 1)
	case <-time.After(30 * time.Second):
		t.Fatal("Holder was called with the Tallier's lock taken")
	}
}
