package breaker

import "flag"

// Property tests draw from a fixed seed, so that every run has the same verdict.
// The command line may give another.
func init() {
	_ = flag.Set("rapid.seed", "1")
}
