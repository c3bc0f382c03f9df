package syncer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/primrosedrift/primrosedrift/internal/versioner"
	peerv1 "github.com/primrosedrift/primrosedrift/pkg/api/peer/v1"
)

// TestDefaultVersionsAreFollowedWhileTheConductorHasThem guards against an instance that takes old default
// versions for confirmed, since a conductor which does not know them responds.
func TestDefaultVersionsAreFollowedWhileTheConductorHasThem(t *testing.T) {
	want := map[string]versioner.Defaults{"lm": {Versions: map[string]string{"": "v1", "m": "v2"}, Revision: 5}}
	c := &Client{Defaults: &versioner.Follower{}}
	at := time.Now()
	whole := &peerv1.WatchResponse{Incarnation: "a", IsConductor: true, HasDefaults: true, Defaults: encodeDefaults(want)}
	unchanged := &peerv1.WatchResponse{Incarnation: "a", IsConductor: true, Base: 3}
	c.applyDefaults(whole, at)
	requireAge := func(age time.Duration, now time.Time) {
		defaults, got, ok := c.Defaults.Known(now)
		require.True(t, ok)
		require.Equal(t, want, defaults)
		require.Equal(t, age, got)
	}
	requireAge(time.Second, at.Add(time.Second))
	c.applyDefaults(unchanged, at.Add(2*time.Second))
	requireAge(time.Second, at.Add(3*time.Second))
	c.applyDefaults(&peerv1.WatchResponse{Incarnation: "b", IsConductor: true}, at.Add(4*time.Second))
	c.applyDefaults(&peerv1.WatchResponse{Incarnation: "b", IsConductor: true, Base: 1}, at.Add(5*time.Second))
	requireAge(4*time.Second, at.Add(6*time.Second))
	c.applyDefaults(unchanged, at.Add(7*time.Second)) // late, of the conductor before
	requireAge(6*time.Second, at.Add(8*time.Second))
}

// TestPeersPassDefaultVersionsOn guards against an instance that starts while there is no conductor and begins
// streams at any version.
func TestPeersPassDefaultVersionsOn(t *testing.T) {
	want := map[string]versioner.Defaults{"lm": {Versions: map[string]string{"": "v1"}}}
	s := &Server{Followed: &versioner.Follower{}}
	c := &Client{Defaults: &versioner.Follower{}}
	now := time.Now()
	pass := func() (age time.Duration, ok bool) {
		var v peerv1.WatchResponse
		s.addFollowedDefaults(&v, now)
		c.applyFollowedDefaults(&v, now)
		_, age, ok = c.Defaults.Known(now)
		return age, ok
	}
	_, ok := pass()
	require.False(t, ok)
	s.Followed.Update(want, now.Add(-2*time.Second))
	_, ok = pass()
	require.False(t, ok, "the holder does not know the peer")
	s.Followed.RecordContact(now)
	age, ok := pass()
	require.True(t, ok)
	require.GreaterOrEqual(t, age, 2*time.Second)
	require.Less(t, age, 2*time.Second+2*time.Millisecond)
}
