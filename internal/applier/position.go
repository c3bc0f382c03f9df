package applier

// Position identifies one record of the log. Positions increase along the log.
// Zero means no record.
type Position uint64

// MaxBatchRecords is the largest number of records in one append.
const MaxBatchRecords = 4095

// PositionOf returns the position of the record with the given index in the
// batch at offset.
func PositionOf(offset uint64, index int) Position {
	return Position(offset*(MaxBatchRecords+1) + uint64(index) + 1)
}

// Offset returns the log offset of the batch that holds the record.
func (p Position) Offset() uint64 {
	return uint64(p) / (MaxBatchRecords + 1)
}
