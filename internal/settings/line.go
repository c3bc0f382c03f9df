package settings

import (
	"cmp"
	"slices"
	"strings"
)

// LineOf returns the line of a dotted key in TOML text, 0 if it is not there.
// For a missing key of a table that is there it returns the table's line.
func LineOf(data []byte, key string) int {
	table, leaf := "", key
	if i := strings.LastIndexByte(key, '.'); i >= 0 {
		table, leaf = key[:i], key[i+1:]
	}
	current, tableLine := "", 0
	for i, line := range strings.Split(string(data), "\n") {
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, "[") {
			current = strings.Trim(strings.SplitN(line, "#", 2)[0], "[] ")
			if current == table {
				tableLine = i + 1
			}
			continue
		}
		name, _, ok := strings.Cut(line, "=")
		if ok && current == table && strings.TrimSpace(name) == leaf {
			return i + 1
		}
	}
	return tableLine
}

// SortFaults sorts faults by line and key.
func SortFaults(f Faults) {
	slices.SortFunc(f, func(a, b Fault) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Key, b.Key))
	})
}
