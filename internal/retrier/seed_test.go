package retrier

import "flag"

// Property tests use a fixed seed so that runs are reproducible. A -rapid.seed
// flag on the command line overrides it.
func init() {
	_ = flag.Set("rapid.seed", "1")
}
