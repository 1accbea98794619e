package measure

import (
	"runtime"
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against histograms that take more time than what they measure: each value allocated a sample
// of 8 KB, which was then thrown away.
func TestObserveAllocatesNoSample(t *testing.T) {
	var m Metrics
	m.Observe("answerTime", "", "", 1)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range 100 {
		m.Observe("answerTime", "", "", 1)
	}
	runtime.ReadMemStats(&after)
	assert.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(8000), "bytes for 100 values")
}
