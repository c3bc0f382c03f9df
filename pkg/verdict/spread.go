package verdict

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Spread returns a time to come back between base and twice base. It depends
// on the request's id only, so that callers who are refused together return
// one after the other.
func Spread(requestID string, base time.Duration) time.Duration {
	const parts = 1 << 16
	return base + time.Duration(int64(base)/parts*int64(xxhash.Sum64String(requestID)%parts))
}
