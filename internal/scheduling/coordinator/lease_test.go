package coordinator_test

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/limpetrelay/limpetrelay/internal/scheduling/coordinator"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/jobspec"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/jobstate"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/placement"
	"github.com/limpetrelay/limpetrelay/wire"
)

// lifetime is the start of all workers in these tests, in milliseconds.
const lifetime = 500

// newSuccessor returns a coordinator that has taken over from one whose fate is not known. A
// task runs on the worker w, which is not listed, and the worker v is idle.
func newSuccessor(t *testing.T, prior ...jobstate.WorkerLease) *exchange {
	return succeed(t, coordinator.State{Term: 7, PriorLeases: prior})
}

func succeed(t *testing.T, s coordinator.State) *exchange {
	spec := batch("b", 1, 30_000)
	placed := &jobspec.Progress{
		State: jobspec.Running, Started: true,
		Occurrences: jobspec.Occurrences{{{{Phase: jobspec.Placed, Run: 1, Worker: "w", Lifetime: lifetime}}}},
	}
	x := &exchange{T: t, now: 1000, state: s}
	table := jobstate.Table{Jobs: map[string]*jobstate.Job{"b": {Spec: &spec, Progress: placed}}}
	x.collect(x.state.Start(x.now, x.now, &table, jobstate.Details{"b": placed}, configuration(0), false))
	x.list("v", lifetime, false)
	return x
}

// waitForStart lets time pass while v answers, until the task starts there or 30 s have passed. It
// returns how long that took, in milliseconds.
func (x *exchange) waitForStart() int64 {
	begin := x.now
	for !x.startedElsewhere() && x.now < begin+30_000 {
		x.answerPolls("v", lifetime)
		x.wait(50)
	}
	return x.now - begin
}

// lastClaim decodes the claim of the newest batch.
func (x *exchange) lastClaim() *jobstate.Claim {
	x.Helper()
	var t jobstate.Table
	_, err := t.Apply(0, x.claim)
	require.NoError(x, err)
	return &t.Claim
}

// A task of a worker that cannot be reached must start elsewhere once every lease has ended that a
// lost coordinator can have granted, and not before.
func TestUnheardWorkerIsAwaitedUntilTheClaimRanOut(t *testing.T) {
	took := newSuccessor(t).waitForStart()
	assert.Greater(t, took, int64(12_100))
	assert.Less(t, took, int64(12_600))
}

// Hosts of earlier versions, whose claims have the fields up to 7, grant leases until their claim
// has run out. A task of a worker that cannot be reached must not start elsewhere before their end.
func TestLeaseOfAnEarlierVersionIsAwaited(t *testing.T) {
	type earlier struct {
		Host       string `cbor:"1,keyasint"`
		SoleLeader bool   `cbor:"6,keyasint,omitempty"`
	}
	value, err := wire.Encode(&earlier{Host: "old", SoleLeader: true})
	require.NoError(t, err)
	x := &exchange{T: t, claim: jobstate.Record{Key: "l", Value: value}}
	x = succeed(t, coordinator.State{Term: 7, UnboundedLeases: !x.lastClaim().LeasesBounded()})
	assert.False(t, x.lastClaim().LeasesBounded(), "the next coordinator must await them too")
	var c earlier
	require.NoError(t, wire.Decode(x.claim.Value, &c), "an earlier version reads the claim")
	took := x.waitForStart()
	assert.Greater(t, took, int64(18_000))
	assert.Less(t, took, int64(18_700))
	assert.True(t, x.lastClaim().LeasesBounded())
}

// If the claim of the lost coordinator says when the lease ends, that is enough.
func TestPriorLeaseIsAwaited(t *testing.T) {
	took := newSuccessor(t, jobstate.WorkerLease{Worker: "w", Left: 4000}).waitForStart()
	assert.Greater(t, took, int64(4100))
	assert.Less(t, took, int64(4500))
}

// The next coordinator must not await the whole time again: the claim tells what is left of it.
func TestLeaseLeftIsPassedOn(t *testing.T) {
	x := newSuccessor(t)
	x.wait(6000)
	leases := x.boundedLeases(x.lastClaim())
	require.Len(t, leases, 1)
	assert.Equal(t, "w", leases[0].Worker)
	assert.InDelta(t, 6500, leases[0].Left, 600)
	assert.InDelta(t, leases[0].Left, newSuccessor(t, leases...).waitForStart(), 400)
}

// A coordinator that leads for a short time must not make the next one await a lease anew: tasks
// of a worker that had left waited 12.4 s after each change of the role.
func TestShortTermPassesOnLeases(t *testing.T) {
	x := newSuccessor(t, jobstate.WorkerLease{Worker: "w", Left: 4000})
	assert.Equal(t, []jobstate.WorkerLease{{Worker: "w", Left: 4100}}, x.boundedLeases(x.lastClaim()))
	x = newSuccessor(t)
	x.wait(600)
	leases := x.boundedLeases(x.lastClaim())
	require.Len(t, leases, 1, "w is not listed")
	assert.InDelta(t, 11_600, newSuccessor(t, coordinator.PassOn(leases, 0)...).waitForStart(), 400)
	assert.Equal(t, []jobstate.WorkerLease{{Worker: "w", Left: 3020}}, coordinator.PassOn([]jobstate.WorkerLease{{Worker: "w", Left: 4000}}, 1000))
}

// Leases must end while the claim is valid: the next coordinator counts on it.
func TestLeaseEndsWithTheClaim(t *testing.T) {
	for _, draining := range []bool{false, true} {
		x := newExchange(t)
		x.list("w", lifetime, false)
		x.answerPolls("w", lifetime)
		x.submit()
		x.answerStart(placement.Executed, x.now-lifetime)
		x.list("w", lifetime, draining)
		validity := int64(12_000)
		if draining {
			validity = 4000
		}
		run := placement.Run{Task: jobspec.TaskID{Job: "b"}, Run: 1}
		for range 10 {
			x.answerPolls("w", lifetime, run)
			x.wait(100)
		}
		x.holdRecords = true
		verified, latest := x.now, int64(0)
		for x.now < verified+20_000 {
			x.wait(100)
			for _, p := range x.polls {
				if p.Target.ID == "w" {
					latest = max(latest, p.Order.Lease)
				}
			}
			x.answerPolls("w", lifetime, run)
		}
		assert.LessOrEqual(t, latest, verified+validity-lifetime, "draining: %t", draining)
		assert.Greater(t, latest, verified+validity-lifetime-1500, "draining: %t", draining)
	}
}

// The claim names a draining worker only once no longer lease is left.
func TestClaimNamesShortLeases(t *testing.T) {
	x := newExchange(t)
	x.list("w", lifetime, false)
	x.answerPolls("w", lifetime)
	x.submit()
	x.answerStart(placement.Executed, x.now-lifetime)
	run := placement.Run{Task: jobspec.TaskID{Job: "b"}, Run: 1}
	x.answerPolls("w", lifetime, run)
	x.list("w", lifetime, true)
	begin := x.now
	named := int64(0)
	for x.now < begin+5000 {
		x.wait(100)
		x.answerPolls("w", lifetime, run)
		if len(x.boundedLeases(x.lastClaim())) > 0 && named == 0 {
			named = x.now
		}
	}
	assert.Greater(t, named, begin+1500, "a lease of 6 s was granted before")
	assert.Less(t, named, begin+3500)
	assert.Equal(t, []jobstate.WorkerLease{{Worker: "w", Left: 4000}}, x.boundedLeases(x.lastClaim()))
}

// The lease of a worker that the claim in force names as silent must not be extended before a
// claim without it is in the store.
func TestNamedWorkerGetsNoLeaseBeforeTheNextClaim(t *testing.T) {
	x := newExchange(t)
	x.list("w", lifetime, false)
	x.answerPolls("w", lifetime)
	x.submit()
	x.answerStart(placement.Executed, x.now-lifetime)
	run := placement.Run{Task: jobspec.TaskID{Job: "b"}, Run: 1}
	x.answerPolls("w", lifetime, run)
	x.unanswerPolls()
	for range 32 {
		x.wait(100)
		x.unanswerPolls()
	}
	require.Len(t, x.boundedLeases(x.lastClaim()), 1)
	x.holdRecords = true
	x.wait(300)
	x.answerPolls("w", lifetime, run)
	x.wait(300)
	require.NotEmpty(t, x.polls)
	assert.Zero(t, x.polls[len(x.polls)-1].Order.Lease)
	x.confirmRecords()
	x.answerPolls("w", lifetime, run)
	x.wait(300)
	assert.Empty(t, x.boundedLeases(x.lastClaim()))
	require.NotEmpty(t, x.polls)
	assert.Positive(t, x.polls[len(x.polls)-1].Order.Lease)
}

// The time left of a recorded lease counts from the renewal that followed the record if the last
// coordinator wrote it, and from now if the renewal is missing. Records of earlier terms bound no
// lease that the last coordinator may have granted.
func TestPriorLeasesCountFromTheirRenewal(t *testing.T) {
	bound := &jobstate.WorkerLease{Worker: "w", Left: 4000}
	c := &jobstate.Claim{Term: 7, RenewedTerm: 7, Renewal: 12, LongLeases: []string{"old"}, Leases: []jobstate.WorkerLease{{Worker: "old", Left: 2000}}}
	old := jobstate.WorkerLease{Worker: "old", Left: 1020}
	for _, x := range []struct {
		name     string
		recorded jobstate.RecordedLease
		resigned bool
		bounded  []jobstate.WorkerLease
		long     []string
	}{
		{"before the claim", jobstate.RecordedLease{Term: 7, Renewal: 12, Bound: bound}, false, []jobstate.WorkerLease{{Worker: "w", Left: 3020}, old}, []string{"old"}},
		{"after the claim", jobstate.RecordedLease{Term: 7, Renewal: 13, Bound: bound}, false, []jobstate.WorkerLease{*bound, old}, []string{"old"}},
		{"of an earlier term", jobstate.RecordedLease{Term: 6, Renewal: 12, Bound: bound}, false, []jobstate.WorkerLease{old}, []string{"old"}},
		{"unseen", jobstate.RecordedLease{Term: 7, Renewal: 12, Long: true, Unseen: true}, false, []jobstate.WorkerLease{old}, []string{"old", "w"}},
		{
			"unseen, resigned", jobstate.RecordedLease{Term: 7, Renewal: 12, Long: true, Unseen: true}, true,
			[]jobstate.WorkerLease{{Worker: "w", Left: 22_000, MaybeUnseen: true}, old}, []string{"old", "w"},
		},
	} {
		c.Resigned = x.resigned
		bounded, long := coordinator.PriorLeases(c, jobstate.Leases{"w": x.recorded}, 1000, 10_000)
		assert.Equal(t, x.bounded, bounded, x.name)
		assert.Equal(t, x.long, long, x.name)
	}
}
