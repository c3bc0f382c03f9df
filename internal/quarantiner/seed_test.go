package quarantiner

import "flag"

// Property tests use a fixed seed, so that their results are reproducible. The
// flag -rapid.seed overrides it.
func init() {
	_ = flag.Set("rapid.seed", "1")
}
