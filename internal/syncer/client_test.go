package syncer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	peerv1 "github.com/primrosedrift/primrosedrift/pkg/api/peer/v1"
)

// While no conductor answers, the last view says nothing of who is alive.
func TestMembersWithoutAConductor(t *testing.T) {
	now := time.Now()
	c := &Client{Self: &peerv1.Member{Instance: "a"}}
	for _, name := range []string{"a", "b", "c"} {
		c.members = append(c.members, &peerv1.Member{Instance: name})
	}
	c.led = now
	require.Len(t, c.Members(), 3)
	c.led = now.Add(-ledFor)
	c.heard = map[string]time.Time{"b": now, "c": now.Add(-memberLife)}
	var names []string
	for _, m := range c.Members() {
		names = append(names, m.GetInstance())
	}
	require.Equal(t, []string{"a", "b"}, names, "itself, and the one that answers it")
}
