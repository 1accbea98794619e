package record_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/limpetrelay/limpetrelay/fault"
	"github.com/limpetrelay/limpetrelay/record"
)

func TestDecodeRefuses(t *testing.T) {
	for _, batch := range [][]record.Record{
		{{Host: "h"}},
		{{Cancel: &record.Cancel{Job: "j"}, Claim: &record.Claim{}}},
	} {
		b, err := record.Encode(batch)
		require.NoError(t, err)
		_, err = record.Decode(b)
		require.Equal(t, fault.Invalid, fault.KindOf(err))
	}
}

func FuzzDecode(f *testing.F) {
	b, err := record.Encode([]record.Record{{Host: "h", Incarnation: "i", Sequence: 1, Cancel: &record.Cancel{Job: "j", By: "b"}}})
	require.NoError(f, err)
	f.Add(b)
	f.Add([]byte{0x9f, 0xff})
	f.Fuzz(func(t *testing.T, b []byte) {
		batch, err := record.Decode(b)
		if err != nil {
			return
		}
		again, err := record.Encode(batch)
		require.NoError(t, err)
		_, err = record.Decode(again)
		require.NoError(t, err)
	})
}
