package foreman_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/limpetrelay/limpetrelay/internal/yard/drill"
	"github.com/limpetrelay/limpetrelay/internal/yard/order"
)

// The loads below are patterns of the heaviest days, each with what it must come to.

// Pattern: a burst of urgent gangs of two organisations, of which one has a
// guarantee, on racks that lesser work fills. The guaranteed gangs displace the
// lesser work and not the other organisation's urgent gangs.
func TestGuaranteedBurstSparesUrgentWork(t *testing.T) {
	p := drill.Plan{Workers: 24, Configuration: configuration(64)}
	for i := range 16 {
		p.Jobs = append(p.Jobs, drill.Arrival{At: 1000, Spec: batch(fmt.Sprintf("b%02d", i), 8, 20_000)})
	}
	for i := range 8 {
		s := gang(fmt.Sprintf("other%d", i), 4, 2, 4000, 0)
		s.Organisation = "guest"
		p.Jobs = append(p.Jobs, drill.Arrival{At: 2000, Spec: s})
	}
	for i := range 4 {
		p.Jobs = append(p.Jobs, drill.Arrival{At: 3000, Spec: gang(fmt.Sprintf("sure%d", i), 4, 4, 2500, 0)})
	}
	w := play(t, p, 60_000)
	for _, r := range w.Results()[16:] {
		assert.Equal(t, order.Completed, r.State)
		assert.Equal(t, 4, r.Starts, "no urgent gang is displaced: %+v", r)
	}
}
