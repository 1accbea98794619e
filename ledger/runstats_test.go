package ledger

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestKeeps(t *testing.T) {
	var none *RunStats
	require.True(t, none.MostlySaved(), "there are no observations")
	for _, c := range []struct {
		saved, unsaved int
		want           bool
	}{
		{0, 0, true}, {1, 0, true}, {1, 1, true}, {0, 1, false}, {1, 2, false}, {9000, 1, true}, {0, 9000, false},
	} {
		var r RunStats
		for range c.saved {
			r.AddStop(true)
		}
		for range c.unsaved {
			r.AddStop(false)
		}
		require.Equal(t, c.want, r.MostlySaved(), "%+v", c)
		require.LessOrEqual(t, r.Saved, r.Stops)
		require.Less(t, r.Stops, uint32(halvingThreshold))
	}
}
