package settings

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// keyLines maps the keys of a TOML file to their lines. The keys are dotted, and
// the elements of an array of tables are indexed: contracts[2].class.
type keyLines map[string]int

// parseKeyLines returns the lines of the keys up to the first syntax error.
func parseKeyLines(data []byte) keyLines {
	out := make(keyLines)
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

// line returns the line of a key. For a missing key it returns the line of the
// innermost table that contains it, or 0 if there is none.
func (l keyLines) line(key string) int {
	for {
		if n, ok := l[key]; ok {
			return n
		}
		i := strings.LastIndexByte(key, '.')
		if i < 0 {
			return 0
		}
		key = key[:i]
	}
}

// sortFaults sorts faults by line and key.
func sortFaults(f Faults) {
	slices.SortStableFunc(f, func(a, b Fault) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Key, b.Key))
	})
}
