package locator

import (
	"fmt"
	"testing"
)

// BenchmarkRank measures the ranking of n entry instances for one target.
func BenchmarkRank(b *testing.B) {
	for _, n := range []int{7, 100, 1600} {
		b.Run(fmt.Sprintf("instances=%d", n), func(b *testing.B) {
			cands := make([]Candidate, n)
			for i := range cands {
				cands[i].Name = fmt.Sprintf("entry-%d", i)
			}
			for b.Loop() {
				Rank("shard-1", cands)
			}
		})
	}
}
