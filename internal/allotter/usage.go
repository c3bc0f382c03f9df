package allotter

import "time"

// slotTime is the resolution of a usage.
const slotTime = 100 * time.Millisecond

// usage counts what was lent within a time, less what was returned of it. It counts a
// little longer than the time, by up to one slot.
type usage struct {
	slots []float64
	slot  int64 // number of the newest slot
	total float64
}

// resize sets the time over which the use is counted, and keeps the counts. The number of
// slots never falls, so that no count is lost while a bound is in force that includes it.
func (u *usage) resize(d time.Duration) {
	n := int64((d+slotTime-1)/slotTime) + 1
	old := int64(len(u.slots))
	if n <= old {
		return
	}
	slots := make([]float64, n)
	for i := range old {
		slot := u.slot - i
		if slot >= 0 {
			slots[slot%n] = u.slots[slot%old]
		}
	}
	u.slots = slots
}

func (u *usage) advance(now time.Duration) {
	slot, n := int64(now/slotTime), int64(len(u.slots))
	if slot-u.slot >= n {
		clear(u.slots)
		u.total, u.slot = 0, slot
		return
	}
	for u.slot < slot {
		u.slot++
		u.total -= u.slots[u.slot%n]
		u.slots[u.slot%n] = 0
	}
}

// sum returns what was lent within the time before now.
func (u *usage) sum(now time.Duration) float64 {
	u.advance(now)
	return u.total
}

func (u *usage) add(x float64, now time.Duration) {
	u.advance(now)
	u.slots[u.slot%int64(len(u.slots))] += x
	u.total += x
}

// remove takes a returned amount out of the slot in which it was lent. It reports false if
// that is no longer counted. For a stamp that is too early the amount counts for longer than
// it has to.
func (u *usage) remove(x float64, stamp, now time.Duration) bool {
	u.advance(now)
	slot, n := int64(stamp/slotTime), int64(len(u.slots))
	if slot > u.slot || u.slot-slot >= n {
		return false
	}
	u.slots[slot%n] -= x
	u.total -= x
	return true
}

func (u *usage) scale(ratio float64) {
	for i := range u.slots {
		u.slots[i] *= ratio
	}
	u.total *= ratio
}
