package folder

import "slices"

// maxRecent bounds the record ids that are remembered of one series of records.
const maxRecent = 256

// recentIDs remembers which records of a series counted, so that a duplicate
// does not count however late it arrives. Record ids are ULIDs and grow with
// time, but for the difference of the writers' clocks. When the memory is full the smallest is forgotten, and
// records that are not newer do not count any more.
type recentIDs struct {
	ids     []string // sorted
	horizon string
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
	if len(r.ids) > maxRecent {
		r.horizon = r.ids[0]
		r.ids = slices.Clone(r.ids[1:])
	}
}
