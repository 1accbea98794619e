package dispatch

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/limpetrelay/limpetrelay/job"
)

// Guards against an organisation that takes the memory of all others, with many jobs or with
// payloads of any size, also while this host has yet to read the records of its jobs.
func TestMemoryOfJobsIsBounded(t *testing.T) {
	for _, c := range []struct{ maxJobs, payloads, payload, own int }{
		{16, 0, 1000, 8}, {0, 100_000, 1000, 50}, {0, 100_000, 10_000, 3}, {0, 100_000, 100, 500},
	} {
		h, n := newTestHost(t), 0
		h.state.MaxJobs, h.state.MaxPayloadBytes = c.maxJobs, int64(c.payloads)
		spec := job.Spec{Organisation: "acme", Class: "c", Payload: make([]byte, c.payload)}
		for ; n < 1000 && h.state.checkRoom(&spec) == nil; n++ {
			spec.Key = fmt.Sprint(n)
			h.apply(Event{Submit: &Submit{Waiter: spec.Key, Spec: spec}})
			if n%3 > 0 {
				h.apply(Event{Appended: &Appended{}})
			}
		}
		require.Equal(t, c.own, n)
		require.NoError(t, h.state.checkRoom(&job.Spec{Organisation: "other", Class: "c", Payload: make([]byte, 1000)}))
	}
}
