package applier

// check is a set of checks that tests disable, to show that an invariant is
// violated without them.
type check uint8

const (
	checkDuplicates check = 1 << iota
	checkMemory
	checkContract
	checkAdapterLoads
	checkClaims
	checkLateOrders
)

func (c check) has(other check) bool {
	return c&other != 0
}
