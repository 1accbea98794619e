package frontend

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/limpetrelay/limpetrelay/internal/host/hostconfig"
)

// Guards against a coordinator that chance puts on a host whose link or processor holds back its orders
// while a better host is free.
func TestBestHostClaimsFirst(t *testing.T) {
	delay := func(coreShare, megabits float64) int64 {
		h := &Host{Settings: hostconfig.Settings{Host: "host", CoreShare: coreShare, LinkRate: megabits * 1e6 / 8}}
		return h.claimDelay()
	}
	best := delay(0.8, 200)
	assert.Equal(t, best, delay(0.4, 1000), "both are sufficient")
	assert.Equal(t, best, delay(0.4, 0), "the link is not known")
	assert.Greater(t, delay(0.48, 10), best+claimSpread, "more than chance decides by")
	assert.Greater(t, delay(0.144, 10), delay(0.48, 10)+claimSpread)
	assert.Less(t, delay(0.48, 10), best+500, "a takeover is not delayed for long if no better host is left")
}
