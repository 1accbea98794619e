package ledger

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/limpetrelay/limpetrelay/config"
	"github.com/limpetrelay/limpetrelay/job"
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

// Guards against callers that fill the memory with the names of classes.
func TestRunStatsAreBounded(t *testing.T) {
	l := Ledger{Config: config.Config{Classes: map[string]config.Class{"configured": {}}}}
	l.init()
	for i := range MaxRunStats + 10 {
		l.runStats(&Job{Spec: job.Spec{Organisation: "o", Class: fmt.Sprint(i)}})
	}
	l.runStats(&Job{Spec: job.Spec{Organisation: "o", Class: "configured"}})
	require.Len(t, l.RunStats, MaxRunStats+1, "configured classes are kept")
}
