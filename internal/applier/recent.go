package applier

import "slices"

// maxRecentIDs limits the ids in a recentIDs.
const maxRecentIDs = 256

// recentIDs holds the ids of the records that counted most recently, so that a
// duplicate does not count however late it arrives. Record ids are ULIDs and
// increase with time, except for the skew between the writers' clocks. When the
// set is full the smallest id is dropped. From then on records with that id or a
// smaller one do not count.
type recentIDs struct {
	ids     []string // sorted
	horizon string   // largest id that was dropped
}

func (r *recentIDs) check(id string) string {
	if r.horizon != "" && id <= r.horizon {
		return "record is older than what the state remembers"
	}
	if _, ok := slices.BinarySearch(r.ids, id); ok {
		return "record is a duplicate"
	}
	return ""
}

func (r *recentIDs) add(id string) {
	i, _ := slices.BinarySearch(r.ids, id)
	r.ids = slices.Insert(r.ids, i, id)
	if len(r.ids) > maxRecentIDs {
		r.horizon = r.ids[0]
		r.ids = slices.Clone(r.ids[1:])
	}
}
