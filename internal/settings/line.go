package settings

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// Positions holds the lines of the keys of a TOML file. The keys are dotted,
// and the entries of an array of tables are numbered: contracts[2].class.
type Positions map[string]int

// PositionsOf returns the lines of the keys up to the first syntax error.
func PositionsOf(data []byte) Positions {
	out := make(Positions)
	counts := make(map[string]int)
	table := ""
	var p unstable.Parser
	p.Reset(data)
	for p.NextExpression() {
		e := p.Expression()
		name, line := keyOf(&p, e)
		switch e.Kind {
		case unstable.Table:
			table = name
			out[name] = line
		case unstable.ArrayTable:
			table = fmt.Sprintf("%s[%d]", name, counts[name])
			counts[name]++
			out[table] = line
		case unstable.KeyValue:
			if table != "" {
				name = table + "." + name
			}
			out[name] = line
		}
	}
	return out
}

// keyOf returns an expression's dotted key and its line.
func keyOf(p *unstable.Parser, e *unstable.Node) (string, int) {
	var parts []string
	line := 0
	for it := e.Key(); it.Next(); {
		n := it.Node()
		if line == 0 {
			line = p.Shape(n.Raw).Start.Line
		}
		parts = append(parts, string(n.Data))
	}
	return strings.Join(parts, "."), line
}

// Line returns the line of a key. For a key that is missing it returns the
// line of the closest table around it, 0 if there is none.
func (p Positions) Line(key string) int {
	for {
		if line, ok := p[key]; ok {
			return line
		}
		i := strings.LastIndexByte(key, '.')
		if i < 0 {
			return 0
		}
		key = key[:i]
	}
}

// SortFaults sorts faults by line and key.
func SortFaults(f Faults) {
	slices.SortStableFunc(f, func(a, b Fault) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Key, b.Key))
	})
}
