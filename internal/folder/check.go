package folder

// check names rules of the fold that tests switch off, to show that a property
// fails without them.
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
