package coordinator

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/limpetrelay/limpetrelay/internal/scheduling/jobspec"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/precedence"
)

// Guards against periodic jobs and later steps that go before all others since their job was accepted
// long ago, although they have just become due.
func TestOnlyWhatWaitsIsOverdue(t *testing.T) {
	s := &State{now: 1_000_000}
	j := &job{id: "periodic", spec: &jobspec.Spec{Priority: 2, Occurrences: 50, Steps: []jobspec.Step{{Tasks: 1}}}}
	r := request{job: j, occurrence: 40, rank: rankNonUrgent + 2}
	overdue := func() bool {
		rs := []request{r}
		s.setPrecedence(rs)
		return rs[0].precedence.Overdue
	}
	assert.False(t, overdue(), "it was accepted long ago and is tried for the first time")
	r.noteAttempt(s)
	s.now += precedence.MaxWait - 1
	r.noteAttempt(s)
	assert.False(t, overdue())
	s.now += 2
	assert.True(t, overdue())
}
