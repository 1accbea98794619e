package dispatch

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/limpetrelay/limpetrelay/fault"
	"github.com/limpetrelay/limpetrelay/job"
)

// Guards against an organisation that takes the memory of all others, with many jobs or with
// large payloads.
func TestMemoryOfJobsIsBounded(t *testing.T) {
	for _, c := range []struct {
		maxJobs  int
		payloads int64
		own      int
	}{{16, 0, 8}, {0, 100_000, 93}} {
		h := newTestHost(t)
		h.state.MaxJobs, h.state.MaxPayloadBytes = c.maxJobs, c.payloads
		submit := func(org string, i, size int) error {
			return h.state.checkRoom(&job.Spec{Organisation: org, Class: "c", Key: fmt.Sprint(i), Payload: make([]byte, size)})
		}
		n := 0
		for ; submit("acme", n, 1000) == nil; n++ {
			h.apply(Event{Submit: &Submit{Waiter: fmt.Sprint(n), Spec: job.Spec{Organisation: "acme", Class: "c", Key: fmt.Sprint(n), Payload: make([]byte, 1000)}}})
		}
		require.Equal(t, c.own, n)
		require.Equal(t, fault.Overloaded, fault.KindOf(submit("acme", n, 1000)))
		require.NoError(t, submit("other", 0, 10))
	}
}
