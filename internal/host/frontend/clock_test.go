package frontend

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// A host whose time of day is set back by a day must not take all workers for odd: their entries
// and answers were refused, so that its leases ended and all tasks were lost.
func TestClockSetBackFindsItsWorkers(t *testing.T) {
	now, wall := int64(1000), time.UnixMilli(1e12)
	h := &Host{Dependencies: Dependencies{Monotonic: func() int64 { return now }, Wall: func() time.Time { return wall }}}
	h.init()
	now, wall = now+5000, wall.Add(-24*time.Hour)
	assert.True(t, h.plausibleLifetime(1e12+5000))
	assert.False(t, h.plausibleLifetime(1e12+5000+maxClockDifference+1))
	wall = wall.Add(48 * time.Hour)
	assert.True(t, h.plausibleLifetime(1e12+86_400_000))
}
