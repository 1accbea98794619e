package precedence

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against jobs that wait although they can't be served in their time, and against refusals of
// those that can.
func TestAdmit(t *testing.T) {
	for _, c := range []struct {
		wait, path, objective, retryAfter int64
		ok                                bool
	}{
		{0, 5000, 16_000, 0, true},
		{43_000, 5000, 16_000, 0, true},
		{60_000, 5000, 16_000, 17_000, false},
		{600_000, 0, 500, 0, true},
		// Without an objective, or with one that the job can't meet in an idle queue either, waiting
		// for the queue to drain would not help.
		{60_000, 5000, 0, 0, true},
		{60_000, 5000, 1600, 0, true},
	} {
		retryAfter, ok := Admit(c.wait, c.path, c.objective)
		assert.Equal(t, c.ok, ok, "%+v", c)
		assert.Equal(t, c.retryAfter, retryAfter, "%+v", c)
	}
}

// Guards against a wait that is told from a burst alone or from a queue that has stood still, and
// against one that is far from what the queue shows.
func TestDrain(t *testing.T) {
	var d Drain
	assert.Zero(t, d.Wait(1000, 500), "nothing has begun")
	for i := range 200 {
		d.Begin(int64(1000 + 500*i))
	}
	now := int64(1000 + 500*200)
	assert.Zero(t, d.Wait(now, 9), "a few jobs are no backlog")
	assert.InDelta(t, 60_000, d.Wait(now, 120), 6000, "120 jobs at two a second")
	assert.Zero(t, d.Wait(now+40_000, 120), "nothing has begun for long")
}
