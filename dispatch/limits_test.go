package dispatch

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/limpetrelay/limpetrelay/job"
)

// Guards against an organisation that takes the memory of all others, with many jobs or with
// large payloads.
func TestMemoryOfJobsIsBounded(t *testing.T) {
	for _, c := range []struct{ maxJobs, payloads, own int }{{16, 0, 8}, {0, 100_000, 93}} {
		h, n := newTestHost(t), 0
		h.state.MaxJobs, h.state.MaxPayloadBytes = c.maxJobs, int64(c.payloads)
		spec := job.Spec{Organisation: "acme", Class: "c", Payload: make([]byte, 1000)}
		for ; h.state.checkRoom(&spec) == nil; n++ {
			spec.Key = fmt.Sprint(n)
			h.apply(Event{Submit: &Submit{Waiter: spec.Key, Spec: spec}})
		}
		require.Equal(t, c.own, n)
		require.NoError(t, h.state.checkRoom(&job.Spec{Organisation: "other", Class: "c", Payload: make([]byte, 10)}))
	}
}
