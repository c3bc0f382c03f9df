package verdict

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// JitteredRetryDelay returns a retry delay from base up to twice base. The delay
// depends only on base and the request's id, so that callers whose requests are
// refused together don't retry together.
func JitteredRetryDelay(requestID string, base time.Duration) time.Duration {
	const steps = 1 << 16
	return base + time.Duration(int64(base)/steps*int64(xxhash.Sum64String(requestID)%steps))
}
