package jobstate_test

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/limpetrelay/limpetrelay/internal/scheduling/jobspec"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/jobstate"
)

const host = "host-1"

// apply applies records at consecutive offsets.
func apply(t *testing.T, table *jobstate.Table, rs ...jobstate.Record) {
	t.Helper()
	for _, r := range rs {
		_, err := table.Apply(table.NextOffset, r)
		require.NoError(t, err)
		table.NextOffset++
	}
}

func spec(id string) jobspec.Spec {
	return jobspec.Spec{
		ID: id, Route: "plans", Organisation: "crew", Payload: string(make([]byte, 1000)),
		Steps: []jobspec.Step{{Tasks: 30, Estimate: 1000, After: []int{}}},
	}
}

// Guards against large records of ended jobs: after a power loss all hosts of a region
// read the newest records of all jobs over one link.
func TestEndedJobIsSmall(t *testing.T) {
	s := spec("0123456789abcdef")
	p := jobspec.Progress{State: jobspec.Failed, EndedAt: 7, Occurrences: [][][]jobspec.Task{make([][]jobspec.Task, 1)}}
	p.Occurrences[0][0] = make([]jobspec.Task, 30)
	rs, err := jobstate.EndedRecords(&s, &p)
	require.NoError(t, err)
	size := 0
	for _, r := range rs {
		size += len(r.Key) + len(r.Value)
	}
	assert.Less(t, size, 200)

	accepted, err := jobstate.AcceptedRecord(&s)
	require.NoError(t, err)
	var table jobstate.Table
	apply(t, &table, accepted, accepted)
	assert.Equal(t, s.Size(), table.SpecBytes)
	apply(t, &table, rs...)
	assert.Zero(t, table.SpecBytes)
	j := table.Jobs[s.ID]
	assert.Equal(t, jobspec.Failed, j.State())
	assert.Equal(t, "crew", j.Spec.Organisation)
	repeat := spec(s.ID)
	repeat.Steps[0].After = nil
	same, err := j.Spec.SameRequest(&repeat)
	require.NoError(t, err)
	assert.True(t, same, "a repeat of the request is recognised")
	repeat.Steps[0].Tasks++
	same, err = j.Spec.SameRequest(&repeat)
	require.NoError(t, err)
	assert.False(t, same, "another request under the same ID is recognised as different")

	// An acceptance that the store writes late doesn't reopen the job.
	apply(t, &table, accepted)
	assert.True(t, table.Jobs[s.ID].Spec.IsSummary())
	assert.Equal(t, jobspec.Failed, table.Jobs[s.ID].State())
}

func TestGone(t *testing.T) {
	claim := func(c jobstate.Claim) jobstate.Record {
		r, err := jobstate.ClaimRecord(&c)
		require.NoError(t, err)
		return r
	}
	exitedAs := func(host string, term uint64) jobstate.Record {
		r, err := jobstate.ExitRecord(&jobstate.Exit{Host: host, Term: term})
		require.NoError(t, err)
		return r
	}
	exited := func(term uint64) jobstate.Record { return exitedAs("host-2", term) }
	after := func(hs ...jobstate.Holder) jobstate.Record {
		return claim(jobstate.Claim{Host: "host-2", RenewedTerm: 9, Predecessors: hs})
	}
	third, fourth := jobstate.Holder{Host: "host-3", Term: 5}, jobstate.Holder{Host: "host-4", Term: 7}
	other := claim(jobstate.Claim{Host: "host-2", Incarnation: "a"})
	soleLeader := claim(jobstate.Claim{Host: "host-2", Incarnation: "a", RenewedTerm: 1, SoleLeader: true})
	for _, c := range []struct {
		name    string
		records []jobstate.Record
		want    bool
	}{
		{"no claim", nil, true},
		{"another host's", []jobstate.Record{other, soleLeader}, false},
		{"departed, but not the sole leader", []jobstate.Record{other, exited(1)}, false},
		{"departed", []jobstate.Record{other, soleLeader, exited(1)}, true},
		{"an earlier one departed", []jobstate.Record{other, claim(jobstate.Claim{Host: "host-3", RenewedTerm: 2, SoleLeader: true}), exited(1)}, false},
		{"a late departure changes nothing", []jobstate.Record{other, soleLeader, exited(1), exited(0)}, true},
		{"resigned", []jobstate.Record{other, claim(jobstate.Claim{Host: "host-2", RenewedTerm: 1, SoleLeader: true, Resigned: true})}, true},
		{"resigned, but not the sole leader", []jobstate.Record{other, claim(jobstate.Claim{Host: "host-2", RenewedTerm: 1, Resigned: true})}, false},
		{"the own last process", []jobstate.Record{claim(jobstate.Claim{Host: host, SoleLeader: true})}, true},
		{"departed in an older term", []jobstate.Record{other, soleLeader, exited(0)}, false},
		{"another host departed", []jobstate.Record{other, soleLeader, exitedAs("host-3", 1)}, false},
		{"departed with its predecessors", []jobstate.Record{after(third, fourth), exited(9), exitedAs("host-3", 6), exitedAs("host-4", 7)}, true},
		{"departed before its predecessors", []jobstate.Record{after(third, fourth), exited(9), exitedAs("host-3", 6)}, false},
		{"departed after its predecessors", []jobstate.Record{after(third), exitedAs("host-3", 5)}, false},
		{"a predecessor departed in an older term", []jobstate.Record{after(fourth), exited(9), exitedAs("host-4", 6)}, false},
		{"after an own term", []jobstate.Record{after(jobstate.Holder{Host: host, Term: 3}), exited(9)}, true},
		{"resigned after a predecessor's departure", []jobstate.Record{
			claim(jobstate.Claim{Host: "host-2", RenewedTerm: 9, Predecessors: []jobstate.Holder{third}, Resigned: true}), exitedAs("host-3", 5),
		}, true},
	} {
		var table jobstate.Table
		apply(t, &table, c.records...)
		assert.Equal(t, c.want, table.PredecessorsGone(&table.Claim, host), c.name)
	}
}
