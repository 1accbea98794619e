package dispatch

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/limpetrelay/limpetrelay/config"
	"github.com/limpetrelay/limpetrelay/fault"
	"github.com/limpetrelay/limpetrelay/internal/depot/logbook"
	"github.com/limpetrelay/limpetrelay/job"
	"github.com/limpetrelay/limpetrelay/ledger"
	"github.com/limpetrelay/limpetrelay/rack"
	"github.com/limpetrelay/limpetrelay/record"
	"github.com/limpetrelay/limpetrelay/upstream"
)

// fakeLog feeds a State as its driver would, one event at a time.
type fakeLog struct {
	t      *testing.T
	s      State
	now    int64
	offset uint64
	// other counts the records of the other host.
	other uint64
}

// newFakeLog returns host e0 of data centre a, which follows the placer e1.
func newFakeLog(t *testing.T) *fakeLog {
	t.Helper()
	f := &fakeLog{t: t, s: State{Settings: Settings{Host: "e0", Incarnation: "e0.1", DataCentre: "a"}}, now: 1}
	f.apply(Event{Hosts: &HostList{Hosts: []logbook.Host{
		{Name: "e0", Kind: logbook.KindEntry, DataCentre: "a", Address: "e0"},
		{Name: "e1", Kind: logbook.KindEntry, DataCentre: "a", Address: "e1"},
		{Name: "w0", Kind: logbook.KindWorker, DataCentre: "a", Address: "w0"},
		{Name: "w1", Kind: logbook.KindWorker, DataCentre: "a", Address: "w1"},
	}}})
	f.fromOther(record.Record{Claim: &record.Claim{DataCentre: "a", Term: 1}})
	for _, n := range []string{"w0", "w1"} {
		f.fromOther(record.Record{Worker: &record.Worker{
			Name: n, DataCentre: "a", Rack: "r", Address: n, Slots: 8, Accelerated: true, Incarnation: n + ".1", State: record.Live, Term: 1,
		}})
	}
	f.fromOther(record.Record{Patch: &config.Patch{Author: "op", Changes: []config.Change{
		{SetOrganisation: &config.NamedOrganisation{Name: "acme"}},
	}}})
	return f
}

// apply applies an event and returns its effects.
func (f *fakeLog) apply(e Event) []Effect {
	e.Now, e.Wall = f.now, f.now
	return f.s.Apply(e)
}

// entry brings records of the log.
func (f *fakeLog) entry(batch ...record.Record) []Effect {
	f.t.Helper()
	b, err := record.Encode(batch)
	require.NoError(f.t, err)
	p := logbook.Page{Entries: []logbook.Entry{{Offset: f.offset, Data: b}}, End: f.offset + 1}
	f.offset++
	return f.apply(Event{Tail: &Tail{Page: p}})
}

// fromOther brings a record of host e1.
func (f *fakeLog) fromOther(r record.Record) []Effect {
	f.t.Helper()
	f.other++
	r.Host, r.Incarnation, r.Sequence = "e1", "e1.1", f.other
	return f.entry(r)
}

// taken lets the log take the batches among effects and returns what follows.
func (f *fakeLog) taken(effects []Effect) []Effect {
	f.t.Helper()
	var after []Effect
	for _, e := range effects {
		if e.Append != nil {
			after = append(after, f.apply(Event{Appended: &Appended{}})...)
			after = append(after, f.entry(e.Append.Batch...)...)
		}
	}
	return after
}

// tick moves the time by a look at the drives.
func (f *fakeLog) tick() []Effect {
	f.now += stepInterval
	return f.apply(Event{})
}

// accepted enters a gang of two.
func (f *fakeLog) accepted() []Effect {
	f.t.Helper()
	return f.fromOther(record.Record{Accept: &record.Accept{Job: "j", DataCentre: "a", Spec: job.Spec{
		Organisation: "acme", Class: "plan", Key: "k", Members: 2, Accelerators: 8,
	}}})
}

// placed enters a gang that e1 has placed on both workers.
func (f *fakeLog) placed() {
	f.t.Helper()
	f.accepted()
	f.fromOther(record.Record{Place: &record.Place{Job: "j", Attempt: 1, Term: 1, Members: []record.Member{
		{Worker: "w0", Incarnation: "w0.1", Mask: rack.FullMask(8)},
		{Worker: "w1", Incarnation: "w1.1", Mask: rack.FullMask(8)},
	}}})
	require.Equal(f.t, ledger.Placed, f.s.Ledger.Jobs["j"].State)
}

// heartbeats brings the reports of both workers, with the given tasks of each.
func (f *fakeLog) heartbeats(tasks [][]upstream.TaskReport) []Effect {
	var effects []Effect
	for i, n := range []string{"w0", "w1"} {
		r := upstream.Report{
			Worker: n, Incarnation: n + ".1", DataCentre: "a", Rack: "r", Slots: 8, Accelerated: true, Revision: 1,
		}
		if tasks != nil {
			r.Tasks = tasks[i]
		}
		effects = append(effects, f.apply(Event{Heartbeat: &HeartbeatResult{Worker: n, SentAt: f.now, Report: r}})...)
	}
	return effects
}

// reserved brings the reports of both workers, which hold reservations.
func (f *fakeLog) reserved() []Effect {
	return f.heartbeats([][]upstream.TaskReport{
		{{Task: TaskName("j", 1, 0), State: upstream.Reserved, Mask: rack.FullMask(8)}},
		{{Task: TaskName("j", 1, 1), State: upstream.Reserved, Mask: rack.FullMask(8)}},
	})
}

// calls returns the calls about members among effects.
func calls(effects []Effect, op Operation) []MemberCall {
	var cs []MemberCall
	for _, e := range effects {
		if e.Member != nil && e.Member.Operation == op {
			cs = append(cs, *e.Member)
		}
	}
	return cs
}

// TestCaretakerStartsNothing takes over from a silent placer that has reserved
// a gang. Until the log has taken the claim, the silent placer may still end the
// attempt as never started.
func TestCaretakerStartsNothing(t *testing.T) {
	f := newFakeLog(t)
	f.placed()
	f.now += 2000
	effects := f.apply(Event{})
	require.True(t, f.s.leading && f.s.interim)
	started := append(f.reserved(), f.tick()...)
	require.Empty(t, calls(append(started, f.tick()...), OpStart), "a caretaker starts nothing")
	effects = append(f.taken(effects), f.tick()...)
	effects = append(effects, f.tick()...)
	require.True(t, f.s.IsPlacer())
	require.Len(t, calls(effects, OpStart), 2, "the placer starts both")
}

// TestRequeueOfTheSilentPlacer lets the silent placer's word that nothing was
// started come before the claim, and after it.
func TestRequeueOfTheSilentPlacer(t *testing.T) {
	for _, before := range []bool{true, false} {
		f := newFakeLog(t)
		f.placed()
		f.now += 2000
		effects := f.apply(Event{})
		started := f.reserved()
		requeue := record.Record{Requeue: &record.Requeue{Job: "j", Attempt: 1, Term: 1, NeverStarted: true}}
		if before {
			started = append(started, f.fromOther(requeue)...)
		}
		started = append(started, f.taken(effects)...)
		if !before {
			started = append(started, f.fromOther(requeue)...)
		}
		started = append(started, f.tick()...)
		started = append(started, f.tick()...)
		require.Equal(t, !before, len(calls(started, OpStart)) > 0, "before=%t", before)
		if before {
			require.Equal(t, ledger.Queued, f.s.Ledger.Jobs["j"].State)
		} else {
			require.Equal(t, ledger.Placed, f.s.Ledger.Jobs["j"].State, "a requeue of an old term is refused")
		}
	}
}

// TestSilentWorkerBeforeStart places a gang, and one of its workers falls
// silent. Before any start the attempt ends without that worker's word; once a
// start was sent it does not.
func TestSilentWorkerBeforeStart(t *testing.T) {
	for _, sent := range []bool{false, true} {
		f := newFakeLog(t)
		f.now += 2000
		f.taken(f.apply(Event{}))
		require.True(t, f.s.IsPlacer())
		f.heartbeats(nil)
		effects := f.accepted()
		effects = append(effects, f.tick()...)
		orders := calls(f.taken(effects), OpReserve)
		require.Len(t, orders, 2)
		answered := 1
		if sent {
			answered = 2
		}
		for i := range answered {
			effects = f.apply(Event{Member: &MemberResult{MemberCall: orders[i], Report: upstream.TaskReport{
				Task: orders[i].Order.Task, State: upstream.Reserved,
			}}})
		}
		require.Equal(t, sent, len(calls(effects, OpStart)) == 2)
		requeued := false
		// The gang's lease would lapse after 7 s.
		for range 6500 / stepInterval {
			for _, e := range f.tick() {
				requeued = requeued || e.Append != nil && e.Append.Batch[0].Requeue != nil
			}
		}
		require.Equal(t, !sent, requeued, "sent=%t", sent)
	}
}

// TestAbsentPlacer replaces a placer whose address refuses connections at once,
// and one that is silent only after its timeout.
func TestAbsentPlacer(t *testing.T) {
	for _, absent := range []bool{true, false} {
		f := newFakeLog(t)
		f.apply(Event{Tail: &Tail{Peer: &PeerStatus{Name: "e1", OK: true, Placer: true, Term: 1}}})
		f.now += 100
		lost := &Tail{Err: fault.New(fault.Unavailable, "no route", "wait"), Peer: &PeerStatus{Name: "e1", ConnectionRefused: absent}}
		f.apply(Event{Tail: lost})
		require.Equal(t, absent, f.s.leading, "absent=%t", absent)
		f.now += 1000
		f.apply(Event{})
		require.True(t, f.s.leading, "absent=%t", absent)
	}
}
