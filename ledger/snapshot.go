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
	// ChunkSize is the size of a snapshot's chunks, in bytes.
	ChunkSize = 256 << 10
	// maxSnapshot bounds the unpacked size of a snapshot, in bytes.
	maxSnapshotSize = 256 << 20
)

// Chunk is one part of a snapshot as written to the log.
type Chunk struct {
	// ID is the same in all chunks of one snapshot, and in no other.
	ID string `cbor:"i"`
	// Next is the offset of the first record that the snapshot does not cover.
	Next uint64 `cbor:"n"`
	// Index counts from 0 to Count-1.
	Index int `cbor:"x"`
	Count int `cbor:"c"`
	// Sum is the hexadecimal SHA-256 of the data of all chunks.
	Sum  string `cbor:"h"`
	Data []byte `cbor:"d"`
}

// Snapshot returns the packed state of l.
func (l *Ledger) Snapshot() ([]byte, error) {
	l.init()
	raw, err := wire.Encode(l)
	if err != nil {
		return nil, err
	}
	var b bytes.Buffer
	z := gzip.NewWriter(&b)
	if _, err := z.Write(raw); err != nil {
		return nil, errors.Wrap(err, "pack the snapshot")
	}
	if err := z.Close(); err != nil {
		return nil, errors.Wrap(err, "pack the snapshot")
	}
	return b.Bytes(), nil
}

// Restore returns the ledger that Snapshot packed. It returns an Invalid error
// when data is damaged.
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

// Split cuts a packed snapshot into chunks.
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

// Joiner collects chunks in any order and keeps the newest complete snapshot.
// The zero value is ready to use.
type Joiner struct {
	// Data is the newest complete snapshot, nil for none.
	Data []byte
	// Next is the offset of the first record that Data does not cover.
	Next uint64

	parts map[string]map[int]Chunk
}

// Add takes one chunk. Damaged snapshots are passed over.
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

// damaged returns the error for a snapshot that cannot be read.
func damagedError(err error) error {
	return fault.Newf(fault.Invalid, "use an older snapshot or one of a peer", "damaged snapshot: %v", err)
}
