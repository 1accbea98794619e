package simulation

import (
	"testing"
)

// Guards against a stalled task that ends when it would have without the stall.
func TestHungTaskDoesItsWork(t *testing.T) {
	p := scenario(1, Arrival{Spec: job(1, false)})
	p.Faults = []Fault{{At: 2000, Duration: 1000, Kind: Hang}}
	requireTook(t, p, 5000)
}
