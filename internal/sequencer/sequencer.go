package sequencer

import "cmp"

// FirstEra is the era of a log that has never been restored. Logs that state no era
// have era 0, and were not restored either.
const FirstEra = 1

// offsetBits is the number of bits of a token that hold the offset. The topics whose
// positions become tokens get a record every few seconds, so their offsets stay far
// below 1 << offsetBits. Tokens stay exact in numbers of 53 bits up to era 1<<21.
const offsetBits = 32

// Position is the position of a record in a log.
type Position struct {
	Era    int64
	Offset int64
}

// Compare returns -1 if p is before q, 1 if it is after q, and 0 if they are equal.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.Era, q.Era), cmp.Compare(p.Offset, q.Offset))
}

// IsAfter reports whether p is after q.
func (p Position) IsAfter(q Position) bool { return p.Compare(q) > 0 }

// Next returns the position after p in the same era.
func (p Position) Next() Position { return Position{p.Era, p.Offset + 1} }

// Token returns the position as a number greater than 0 that rises with the position.
func (p Position) Token() int64 { return p.Era<<offsetBits + p.Offset + 1 }

// FromToken returns the position of a token.
func FromToken(token int64) Position {
	return Position{Era: (token - 1) >> offsetBits, Offset: (token - 1) & (1<<offsetBits - 1)}
}
