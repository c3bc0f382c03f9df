package follower

import (
	"cmp"
	"slices"
)

// removeDroppedLocked removes the dropped keys with the lowest offsets if there are
// more than maxDropped.
func (f *Follower) removeDroppedLocked() {
	if len(f.newest) <= maxDropped {
		return
	}
	var dropped []Record
	for _, r := range f.newest {
		if r.Value == nil {
			dropped = append(dropped, r)
		}
	}
	slices.SortFunc(dropped, func(a, b Record) int { return cmp.Compare(a.Offset, b.Offset) })
	for _, r := range dropped[:max(0, len(dropped)-maxDropped)] {
		delete(f.newest, r.Key)
		f.historyStart = max(f.historyStart, r.Offset+1)
	}
}

// dropMissingLocked marks the keys that are missing from a listing as dropped,
// unless their record is newer than the listing.
func (f *Follower) dropMissingLocked(all []Record, listEnd int64) {
	isListed := make(map[string]bool, len(all))
	for _, r := range all {
		isListed[r.Key] = true
	}
	for k, r := range f.newest {
		if !isListed[k] && r.Offset < listEnd && r.Value != nil {
			// The offset of the drop is not known. The last offset before the end of
			// the listing is used, so that a peer that reads through this follower and
			// has all earlier records still receives the drop.
			f.newest[k] = Record{Key: k, Offset: max(r.Offset, listEnd-1), last: r.Value}
		}
	}
}
