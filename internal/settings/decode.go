package settings

import (
	"sort"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"
)

// maxDecodeFaults bounds the faults that one decoding looks for.
const maxDecodeFaults = 50

// Checker collects the faults of one file.
type Checker struct {
	File string

	positions Positions
	faults    Faults
	bad       map[int]bool // lines that could not be decoded
}

// Decode reads TOML into v and notes what is wrong with it. Unknown keys are
// faults. A line with a fault is left out and the rest is decoded, so that
// every fault is found at once.
func (c *Checker) Decode(data []byte, v any) {
	c.positions = PositionsOf(data)
	c.bad = make(map[int]bool)
	lines := strings.Split(string(data), "\n")
	for range maxDecodeFaults {
		line := c.note(decode(lines, v), lines, v)
		if line <= 0 || line > len(lines) || c.bad[line] {
			return
		}
		c.bad[line] = true
		lines[line-1] = ""
	}
}

func decode(lines []string, v any) error {
	dec := toml.NewDecoder(strings.NewReader(strings.Join(lines, "\n")))
	dec.DisallowUnknownFields()
	return dec.Decode(v)
}

// note adds the faults of a decoding. It returns the line to leave out, 0 for none.
func (c *Checker) note(err error, lines []string, v any) int {
	var strict *toml.StrictMissingError
	var one *toml.DecodeError
	switch {
	case err == nil:
	case errors.As(err, &strict):
		for _, e := range strict.Errors {
			line, _ := e.Position()
			c.addAt(line, strings.Join(e.Key(), "."), "unknown key")
		}
	case errors.As(err, &one):
		line, _ := one.Position()
		c.addAt(line, strings.Join(one.Key(), "."), one.Error())
		return line
	default:
		line := firstBad(lines, v)
		c.addAt(line, "file", err.Error())
		return line
	}
	return 0
}

// firstBad returns the first line at which decoding fails, for errors that
// do not tell it. The lines before it decode.
func firstBad(lines []string, v any) int {
	return sort.Search(len(lines), func(n int) bool {
		var strict *toml.StrictMissingError
		err := decode(lines[:n], v)
		return err != nil && !errors.As(err, &strict)
	})
}

// addAt notes a fault of a line under the line's key, or the given one if the
// line has none.
func (c *Checker) addAt(line int, key, text string) {
	for k, l := range c.positions {
		if l == line {
			key = k
		}
	}
	c.faults = append(c.faults, Fault{c.File, line, key, strings.TrimPrefix(text, "toml: ")})
}

// Add notes a fault of a value. It is left out if the value's own line could
// not be decoded, since that is the fault already.
func (c *Checker) Add(key, text string) {
	line := c.positions.Line(key)
	if !c.bad[line] {
		c.faults = append(c.faults, Fault{c.File, line, key, text})
	}
}

// Err returns the faults sorted by line, nil if there are none. It is a Faults.
func (c *Checker) Err() error {
	if len(c.faults) == 0 {
		return nil
	}
	SortFaults(c.faults)
	return c.faults
}
