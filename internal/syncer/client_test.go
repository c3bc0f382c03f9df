package syncer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	peerv1 "github.com/primrosedrift/primrosedrift/pkg/api/peer/v1"
)

// While no conductor responds, the last view does not show which members are alive.
func TestMembersWithoutConductorAreThoseThatRespond(t *testing.T) {
	now := time.Now()
	c := &Client{Self: &peerv1.Member{Instance: "a"}}
	for _, name := range []string{"a", "b", "c"} {
		c.members = append(c.members, &peerv1.Member{Instance: name})
	}
	c.viewAt = now
	require.Len(t, c.Members(), 3)
	c.viewAt = now.Add(-conductorTTL)
	c.respondedAt = map[string]time.Time{"b": now, "c": now.Add(-memberTTL)}
	var names []string
	for _, m := range c.Members() {
		names = append(names, m.GetInstance())
	}
	require.Equal(t, []string{"a", "b"}, names, "this instance, and the member that responds to it")
}
