package ledger

import (
	"bytes"
	"compress/gzip"
	"crypto/sha256"
	"encoding/hex"
	"io"

	"github.com/cockroachdb/errors"

	"github.com/limpetrelay/limpetrelay/fault"
	"github.com/limpetrelay/limpetrelay/wire"
)

const (
	// ChunkSize is the maximum size of the data of a chunk, in bytes.
	ChunkSize = 256 << 10
	// maxSnapshotSize is the maximum uncompressed size of a snapshot, in bytes.
	maxSnapshotSize = 256 << 20
)

// Chunk is one part of a snapshot, as written to the log.
type Chunk struct {
	// ID is unique to a snapshot and the same in all of its chunks.
	ID string `cbor:"i"`
	// Next is the offset of the first record that the snapshot does not cover.
	Next uint64 `cbor:"n"`
	// Index is the position of the chunk, from 0 to Count-1.
	Index int `cbor:"x"`
	// Count is the number of chunks of the snapshot.
	Count int `cbor:"c"`
	// Sum is the hexadecimal SHA-256 of the concatenated data of all chunks.
	Sum  string `cbor:"h"`
	Data []byte `cbor:"d"`
}

// Snapshot returns the state of l as gzip-compressed CBOR.
func (l *Ledger) Snapshot() ([]byte, error) {
	l.init()
	raw, err := wire.Encode(l)
	if err != nil {
		return nil, err
	}
	var b bytes.Buffer
	z := gzip.NewWriter(&b)
	if _, err := z.Write(raw); err != nil {
		return nil, errors.Wrap(err, "compress the snapshot")
	}
	if err := z.Close(); err != nil {
		return nil, errors.Wrap(err, "compress the snapshot")
	}
	return b.Bytes(), nil
}

// Restore returns the ledger of a snapshot made by Snapshot. It returns an Invalid
// error if data is damaged.
func Restore(data []byte) (*Ledger, error) {
	z, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, damagedError(err)
	}
	raw, err := io.ReadAll(io.LimitReader(z, maxSnapshotSize))
	if err != nil {
		return nil, damagedError(err)
	}
	l := &Ledger{}
	if err := wire.Decode(raw, l); err != nil {
		return nil, damagedError(err)
	}
	if l.Jobs == nil || l.Workers == nil || l.Keys == nil {
		return nil, damagedError(errors.New("fields are missing"))
	}
	l.init()
	return l, nil
}

// SplitSnapshot splits the data of a snapshot into chunks. An empty snapshot has one
// chunk.
func SplitSnapshot(id string, next uint64, data []byte) []Chunk {
	sum := Sum(data)
	n := max(1, (len(data)+ChunkSize-1)/ChunkSize)
	chunks := make([]Chunk, n)
	for i := range chunks {
		lo, hi := i*ChunkSize, min((i+1)*ChunkSize, len(data))
		chunks[i] = Chunk{ID: id, Next: next, Index: i, Count: n, Sum: sum, Data: data[lo:hi]}
	}
	return chunks
}

// Joiner reassembles snapshots from chunks that arrive in any order and keeps the
// newest complete one. The zero value is ready to use.
type Joiner struct {
	// Data is the newest complete snapshot; nil if there is none.
	Data []byte
	// Next is the offset of the first record that Data does not cover.
	Next uint64

	// parts maps snapshot IDs to the chunks received so far, by index.
	parts map[string]map[int]Chunk
}

// Add adds one chunk. It ignores malformed chunks and those of snapshots older than
// Data, and discards a complete snapshot whose checksum does not match.
func (j *Joiner) Add(c Chunk) {
	if c.Count < 1 || c.Index < 0 || c.Index >= c.Count || j.Data != nil && c.Next < j.Next {
		return
	}
	if j.parts == nil {
		j.parts = map[string]map[int]Chunk{}
	}
	if j.parts[c.ID] == nil {
		j.parts[c.ID] = map[int]Chunk{}
	}
	j.parts[c.ID][c.Index] = c
	if len(j.parts[c.ID]) < c.Count {
		return
	}
	var data []byte
	for i := range c.Count {
		data = append(data, j.parts[c.ID][i].Data...)
	}
	delete(j.parts, c.ID)
	if Sum(data) == c.Sum {
		j.Data, j.Next = data, c.Next
	}
}

// Sum returns the hexadecimal SHA-256 of data.
func Sum(data []byte) string {
	h := sha256.Sum256(data)
	return hex.EncodeToString(h[:])
}

// damagedError returns the error for a snapshot that cannot be restored.
func damagedError(err error) error {
	return fault.Newf(fault.Invalid, "use an older snapshot or one of a peer", "damaged snapshot: %v", err)
}
