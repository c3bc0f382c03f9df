// Package sequencer orders the records of the platform's log.
//
// The log may come back from a copy that is some seconds old. The records that were
// appended since are gone, and their offsets are given out again. Each such restore
// starts another era of the log, with a higher number. An offset alone therefore names
// different records in two eras, and the offsets of later records may be lower.
//
// The rules:
//
//   - A Position names a record by the era in which it was appended and by its offset.
//     Positions of one era are ordered by their offsets, those of two eras by the eras.
//   - A record that survives a restore keeps its position. So a position in an earlier
//     era does not show whether the log still holds the record.
//   - A token is the position of a claim as one number that rises with the position.
package sequencer
