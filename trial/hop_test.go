package trial

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetrelay/limpetrelay/standin"
	"github.com/limpetrelay/limpetrelay/upstream"
	"github.com/limpetrelay/limpetrelay/wire"
)

// TestHop compares the latency of a small request without work through an entry host
// with that of the same call to the worker itself.
func TestHop(t *testing.T) {
	const rounds = 200
	c := smallCluster(t)
	w := upstream.NewClient(wire.NewHTTPClient(nil), "http://"+c.workers["w1"].address)
	payload := standin.TaskSpec{Echo: "x"}.Payload()
	var direct, hop []time.Duration
	for i := range rounds {
		startedAt := time.Now()
		_, err := w.Run(t.Context(), upstream.Run{Wait: 2000, Order: upstream.Order{Task: fmt.Sprint("d-", i), Lease: 1000, Payload: payload}})
		require.NoError(t, err)
		direct = append(direct, time.Since(startedAt))
		startedAt = time.Now()
		a := c.call("e1", http.MethodPost, "/v1/jobs", submissionBody(`,"runTime":100`, standin.TaskSpec{Echo: "x"}, 2000))
		require.Equal(t, "completed", a.result(), "%+v", a)
		hop = append(hop, time.Since(startedAt))
	}
	slices.Sort(direct)
	slices.Sort(hop)
	d, h := direct[rounds/2], hop[rounds/2]
	t.Logf("median to the worker %s, through an entry host %s, ratio %.2f", d, h, float64(h)/float64(d))
	require.Less(t, h, 50*time.Millisecond, "the median latency through an entry host is too high")
}
