package settings

import (
	"sort"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"
)

// maxDecodePasses bounds how often a file is decoded. Each pass finds one line that
// cannot be decoded.
const maxDecodePasses = 50

// Checker collects the faults of one file.
type Checker struct {
	File string

	keyLines     keyLines
	faults       Faults
	skippedLines map[int]bool // lines that cannot be decoded
}

// Decode decodes TOML into v and adds its faults. Unknown keys are faults. A line
// that cannot be decoded is skipped and the rest is decoded again, so that all
// faults are reported at once.
func (c *Checker) Decode(data []byte, v any) {
	c.keyLines = parseKeyLines(data)
	c.skippedLines = make(map[int]bool)
	lines := strings.Split(string(data), "\n")
	for range maxDecodePasses {
		line := c.addDecodeError(decode(lines, v), lines, v)
		if line <= 0 || line > len(lines) || c.skippedLines[line] {
			return
		}
		c.skippedLines[line] = true
		lines[line-1] = ""
	}
}

func decode(lines []string, v any) error {
	dec := toml.NewDecoder(strings.NewReader(strings.Join(lines, "\n")))
	dec.DisallowUnknownFields()
	return dec.Decode(v)
}

// addDecodeError adds the faults of a decoding error. It returns the line to skip
// in the next pass, 0 if there is none.
func (c *Checker) addDecodeError(err error, lines []string, v any) int {
	var strict *toml.StrictMissingError
	var decodeErr *toml.DecodeError
	switch {
	case err == nil:
	case errors.As(err, &strict):
		for _, e := range strict.Errors {
			line, _ := e.Position()
			c.addAt(line, strings.Join(e.Key(), "."), "unknown key")
		}
	case errors.As(err, &decodeErr):
		line, _ := decodeErr.Position()
		c.addAt(line, strings.Join(decodeErr.Key(), "."), decodeErr.Error())
		return line
	default:
		line := firstUndecodableLine(lines, v)
		c.addAt(line, "file", err.Error())
		return line
	}
	return 0
}

// firstUndecodableLine returns the first line at which decoding fails, for errors
// that have no position. All lines before it can be decoded.
func firstUndecodableLine(lines []string, v any) int {
	return sort.Search(len(lines), func(n int) bool {
		var strict *toml.StrictMissingError
		err := decode(lines[:n], v)
		return err != nil && !errors.As(err, &strict)
	})
}

// addAt adds a fault of a line. The fault has the key that is on the line, or the
// given key if there is none.
func (c *Checker) addAt(line int, key, text string) {
	for k, l := range c.keyLines {
		if l == line {
			key = k
		}
	}
	c.faults = append(c.faults, Fault{c.File, line, key, strings.TrimPrefix(text, "toml: ")})
}

// Add adds a fault of a value. It adds none if the value's line could not be
// decoded, because that fault is reported already.
func (c *Checker) Add(key, text string) {
	line := c.keyLines.line(key)
	if !c.skippedLines[line] {
		c.faults = append(c.faults, Fault{c.File, line, key, text})
	}
}

// Err returns the faults as a Faults, sorted by line, or nil if there are none.
func (c *Checker) Err() error {
	if len(c.faults) == 0 {
		return nil
	}
	sortFaults(c.faults)
	return c.faults
}
