package sequencer

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// A record that is appended after a restore is newer than any record of before, though
// its offset may be lower.
func ExamplePosition_IsAfter() {
	before := Position{Era: 1, Offset: 907}
	after := Position{Era: 2, Offset: 894}
	fmt.Println(after.IsAfter(before), after.Token() > before.Token())
	// Output: true true
}

func TestTokensOrderLikePositions(t *testing.T) {
	position := rapid.Custom(func(t *rapid.T) Position {
		return Position{Era: rapid.Int64Range(0, 1<<20).Draw(t, "era"), Offset: rapid.Int64Range(0, 1<<31).Draw(t, "offset")}
	})
	rapid.Check(t, func(t *rapid.T) {
		p, q := position.Draw(t, "p"), position.Draw(t, "q")
		require.Equal(t, p, FromToken(p.Token()))
		require.Positive(t, p.Token())
		require.Equal(t, p.IsAfter(q), p.Token() > q.Token())
		require.Equal(t, p.Compare(q), -q.Compare(p))
		require.True(t, p.Next().IsAfter(p))
	})
}
