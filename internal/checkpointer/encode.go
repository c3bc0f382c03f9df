package checkpointer

import (
	"bytes"
	"compress/gzip"
	"io"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/primrosedrift/primrosedrift/internal/applier"
	recordv1 "github.com/primrosedrift/primrosedrift/pkg/api/record/v1"
)

// Limits of a checkpoint.
const (
	// ChunkBytes is the size of the data of a chunk, except for the last.
	ChunkBytes    = 128 << 10
	maxChunks     = 4096
	maxStateBytes = 256 << 20
	// maxPartialCheckpoints limits the incomplete checkpoints of an Assembler.
	maxPartialCheckpoints = 4
)

// Encode returns the state in compressed form.
func Encode(s *applier.State) ([]byte, error) {
	data, err := s.Marshal()
	if err != nil {
		return nil, err
	}
	var out bytes.Buffer
	w := gzip.NewWriter(&out)
	if _, err := w.Write(data); err != nil {
		return nil, errors.Wrap(err, "compress state")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "compress state")
	}
	return out.Bytes(), nil
}

// Decode returns the state that Encode encoded.
func Decode(data []byte) (*applier.State, error) {
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, errors.Wrap(err, "decompress state")
	}
	raw, err := io.ReadAll(io.LimitReader(r, maxStateBytes))
	if err != nil {
		return nil, errors.Wrap(err, "decompress state")
	}
	return applier.Unmarshal(raw)
}

// Split returns the chunks of an encoded state.
func Split(id string, nextOffset uint64, data []byte) []*recordv1.CheckpointChunk {
	var out []*recordv1.CheckpointChunk
	digest := xxhash.Sum64(data)
	for piece := range slices.Chunk(data, ChunkBytes) {
		out = append(out, &recordv1.CheckpointChunk{
			Checkpoint: id, Index: uint32(len(out)), NextOffset: nextOffset, Digest: digest, Data: piece,
		})
	}
	for _, c := range out {
		c.Count = uint32(len(out))
	}
	return out
}

// Assembler assembles checkpoints from chunks. Its zero value is ready to use.
type Assembler struct {
	// Newest is the newest complete checkpoint, nil for none.
	Newest  *applier.State
	partial []*partialCheckpoint
}

type partialCheckpoint struct {
	id     string
	first  *recordv1.CheckpointChunk
	chunks map[uint32][]byte
}

// Add adds a chunk. Chunks may arrive in any order, repeatedly, and interleaved
// with those of concurrent writers. Invalid chunks are ignored.
func (a *Assembler) Add(c *recordv1.CheckpointChunk) {
	if c.GetCount() == 0 || c.GetCount() > maxChunks || c.GetIndex() >= c.GetCount() || len(c.GetData()) > ChunkBytes {
		return
	}
	if a.Newest != nil && c.GetNextOffset() <= a.Newest.NextOffset {
		return
	}
	p := a.find(c)
	if p.first.GetCount() != c.GetCount() || p.first.GetDigest() != c.GetDigest() || p.first.GetNextOffset() != c.GetNextOffset() {
		return
	}
	p.chunks[c.GetIndex()] = c.GetData()
	if len(p.chunks) < int(c.GetCount()) {
		return
	}
	a.partial = slices.DeleteFunc(a.partial, func(q *partialCheckpoint) bool { return q == p })
	if s := p.state(); s != nil {
		a.Newest = s
	}
}

func (a *Assembler) find(c *recordv1.CheckpointChunk) *partialCheckpoint {
	for _, p := range a.partial {
		if p.id == c.GetCheckpoint() {
			return p
		}
	}
	p := &partialCheckpoint{id: c.GetCheckpoint(), first: c, chunks: make(map[uint32][]byte)}
	a.partial = append(a.partial, p)
	if len(a.partial) > maxPartialCheckpoints {
		a.partial = slices.Delete(a.partial, 0, 1)
	}
	return p
}

// state returns the state, or nil if the data does not match its digest or is not
// a valid state.
func (p *partialCheckpoint) state() *applier.State {
	var data []byte
	for i := range p.first.GetCount() {
		data = append(data, p.chunks[i]...)
	}
	if xxhash.Sum64(data) != p.first.GetDigest() {
		return nil
	}
	s, err := Decode(data)
	if err != nil || s.NextOffset != p.first.GetNextOffset() {
		return nil
	}
	return s
}
