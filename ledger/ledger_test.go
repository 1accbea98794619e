package ledger_test

import (
	"fmt"
	"os"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/limpetrelay/limpetrelay/config"
	"github.com/limpetrelay/limpetrelay/fault"
	"github.com/limpetrelay/limpetrelay/internal/testing/fixedseed"
	"github.com/limpetrelay/limpetrelay/job"
	"github.com/limpetrelay/limpetrelay/ledger"
	"github.com/limpetrelay/limpetrelay/rack"
	"github.com/limpetrelay/limpetrelay/record"
)

func TestMain(m *testing.M) {
	fixedseed.Set("200")
	os.Exit(m.Run())
}

const dc = "a"

var organisations = []string{"acme", "lender", "small"}

// machine applies random records of two hosts, at most one of which holds the
// placer role, to a ledger.
type machine struct {
	l      ledger.Ledger
	offset uint64
	// seq maps each host to the sequence number of its last record.
	seq map[string]uint64
	// now is the hosts' clock, in Unix milliseconds.
	now int64
	// jobs is the number of jobs submitted.
	jobs int
	// ended maps the ID of each ended job to its result.
	ended map[string]job.Result
}

// write applies a record of host, asserts that repeating it has no effect, and
// checks the invariants.
func (m *machine) write(rt *rapid.T, host string, r record.Record) ledger.Verdict {
	m.seq[host]++
	m.now += 100
	r.Host, r.Incarnation, r.Sequence, r.At = host, host+".1", m.seq[host], m.now
	before := m.l.Config.Version
	v := m.l.Apply(m.offset, r)
	m.l.Advance(m.offset)
	m.offset++
	require.False(rt, v.Repeat)
	require.LessOrEqual(rt, m.l.Config.Version-before, uint64(1))
	repeat := m.l.Apply(m.offset, r)
	require.True(rt, repeat.Repeat, "a repeated record was not dropped")
	m.check(rt)
	return v
}

// check asserts that the invariants hold and that no outcome has changed.
func (m *machine) check(rt *rapid.T) {
	broken, _ := m.l.CheckInvariants()
	require.Empty(rt, broken)
	for id, j := range m.l.Jobs {
		if j.State != ledger.Finished {
			continue
		}
		if previous, ok := m.ended[id]; ok {
			require.Equal(rt, previous, j.Outcome.Result, "the outcome of %s changed", id)
		}
		m.ended[id] = j.Outcome.Result
	}
}

// term returns the current term.
func (m *machine) term() uint64 { return m.l.Terms[dc].Term }

// drawHost draws a host, usually the one that holds the term.
func (m *machine) drawHost(rt *rapid.T) string {
	if h := m.l.Terms[dc].Host; h != "" && rapid.IntRange(0, 9).Draw(rt, "stale") > 0 {
		return h
	}
	return rapid.SampledFrom([]string{"e1", "e2"}).Draw(rt, "host")
}

// drawJob draws a job in state s. It returns nil if there is none.
func (m *machine) drawJob(rt *rapid.T, s ledger.State) *ledger.Job {
	ids := m.l.JobIDs(s)
	if len(ids) == 0 {
		return nil
	}
	return m.l.Jobs[rapid.SampledFrom(ids).Draw(rt, "job")]
}

func (m *machine) claim(rt *rapid.T) {
	h := rapid.SampledFrom([]string{"e1", "e2"}).Draw(rt, "host")
	m.write(rt, h, record.Record{Claim: &record.Claim{DataCentre: dc, Term: m.term() + uint64(rapid.IntRange(0, 1).Draw(rt, "step"))}})
}

func (m *machine) worker(rt *rapid.T) {
	i := rapid.IntRange(0, 15).Draw(rt, "worker")
	m.write(rt, m.drawHost(rt), record.Record{Worker: &record.Worker{
		Name: fmt.Sprintf("w%d", i), DataCentre: dc, Rack: fmt.Sprintf("r%d", i/8), Slots: 8, Accelerated: true,
		Incarnation: fmt.Sprint(rapid.IntRange(1, 2).Draw(rt, "incarnation")), Term: m.term(),
		State: rapid.SampledFrom([]record.WorkerState{record.Live, record.Live, record.Live, record.Leaving, record.Gone}).Draw(rt, "state"),
	}})
}

func (m *machine) patch(rt *rapid.T) {
	var s rack.Shape
	for l := range s {
		s[l] = rapid.IntRange(0, 3).Draw(rt, "cells")
	}
	s[rack.LevelRack] = min(1, s[rack.LevelRack])
	base := m.l.Config.Version - min(m.l.Config.Version, uint64(rapid.IntRange(0, 5).Draw(rt, "old")/5))
	p := &config.Patch{Base: base, Author: "op", Changes: []config.Change{{SetOrganisation: &config.NamedOrganisation{
		Name: rapid.SampledFrom(organisations).Draw(rt, "org"), Organisation: config.Organisation{Guarantee: map[string]rack.Shape{dc: s}},
	}}}}
	v := m.write(rt, "e1", record.Record{Patch: p})
	if base != m.l.Config.Version && v.Err == nil {
		require.Equal(rt, base+1, v.Version)
	}
}

// closeOrOpen opens the data centre or closes it, as lost or not.
func (m *machine) closeOrOpen(rt *rapid.T) {
	ch := config.Change{OpenDataCentre: dc}
	if rapid.IntRange(0, 3).Draw(rt, "close") == 0 {
		ch = config.Change{CloseDataCentre: &config.NamedClosing{
			Name: dc, Closing: config.Closing{Lost: rapid.Bool().Draw(rt, "lost")},
		}}
	}
	m.write(rt, "e1", record.Record{Patch: &config.Patch{Base: m.l.Config.Version, Author: "op", Changes: []config.Change{ch}}})
}

func (m *machine) accept(rt *rapid.T) {
	m.jobs++
	s := job.Spec{
		Organisation: rapid.SampledFrom(organisations).Draw(rt, "org"), Class: "c", AtMostOnce: rapid.Bool().Draw(rt, "once"),
		Members: rapid.IntRange(1, 9).Draw(rt, "members"), Accelerators: rapid.IntRange(1, 8).Draw(rt, "accelerators"),
		Adjacency: rapid.SampledFrom([]rack.Adjacency{rack.AdjacencyAny, rack.AdjacencyRack, rack.AdjacencyWorker}).Draw(rt, "adjacency"),
	}
	if rapid.Bool().Draw(rt, "keyed") {
		s.Key = fmt.Sprint(rapid.IntRange(0, 5).Draw(rt, "key"))
	}
	m.write(rt, "e2", record.Record{Accept: &record.Accept{Job: fmt.Sprintf("j%d", m.jobs), Spec: s, DataCentre: dc}})
}

// place writes a placement on random aligned cells that may break any other rule;
// the ledger must reject the invalid ones.
func (m *machine) place(rt *rapid.T) {
	j := m.drawJob(rt, ledger.Queued)
	if j == nil {
		return
	}
	need, err := j.Spec.Need()
	require.NoError(rt, err)
	p := &record.Place{Job: j.ID, Attempt: j.Attempt + 1, Term: m.term(), Guaranteed: rapid.Bool().Draw(rt, "guaranteed")}
	plan := m.l.Plan(dc)
	if p.Guaranteed {
		p.VirtualCells, _ = plan.FindVirtualCells(j.Spec.Organisation, need)
	}
	first := rapid.IntRange(0, 15).Draw(rt, "first")
	for i := range need.Members {
		w := m.l.Workers[fmt.Sprintf("w%d", (first+i)%16)]
		if w == nil {
			return
		}
		at := rapid.IntRange(0, 8/need.Level.Slots()-1).Draw(rt, "at") * need.Level.Slots()
		p.Members = append(p.Members, record.Member{
			Worker: w.Name, Incarnation: w.Incarnation, Mask: rack.FullMask(need.Level.Slots()) << at,
		})
	}
	m.write(rt, m.drawHost(rt), record.Record{Place: p})
}

func (m *machine) requeue(rt *rapid.T) {
	if j := m.drawJob(rt, ledger.Placed); j != nil {
		m.write(rt, m.drawHost(rt), record.Record{Requeue: &record.Requeue{
			Job: j.ID, Attempt: j.Attempt, Term: m.term(), NeverStarted: rapid.Bool().Draw(rt, "never"),
		}})
	}
}

func (m *machine) end(rt *rapid.T) {
	if j := m.drawJob(rt, rapid.SampledFrom([]ledger.State{ledger.Placed, ledger.Queued}).Draw(rt, "state")); j != nil {
		res := rapid.SampledFrom([]job.Result{job.Completed, job.Failed, job.Unknown, job.NotRun}).Draw(rt, "result")
		m.write(rt, m.drawHost(rt), record.Record{End: &record.End{
			Job: j.ID, Attempt: j.Attempt, Term: m.term(), RunTime: 100,
			Outcome: job.NewOutcome(res, fault.Refused, "x", "y"),
		}})
	}
}

func (m *machine) cancel(rt *rapid.T) {
	if j := m.drawJob(rt, rapid.SampledFrom([]ledger.State{ledger.Placed, ledger.Queued}).Draw(rt, "state")); j != nil {
		m.write(rt, "e2", record.Record{Cancel: &record.Cancel{Job: j.ID, By: "clerk"}})
	}
}

// restore replaces the ledger by one restored from its snapshot.
func (m *machine) restore(rt *rapid.T) {
	first, err := m.l.Snapshot()
	require.NoError(rt, err)
	l, err := ledger.Restore(first)
	require.NoError(rt, err)
	second, err := l.Snapshot()
	require.NoError(rt, err)
	require.Equal(rt, first, second)
	require.Equal(rt, m.l.GuaranteeShortfall(dc), l.GuaranteeShortfall(dc))
	m.l = *l
}

// TestRandomRecords applies random records, most of which break a rule, and asserts
// the invariants of the ledger after each one.
func TestRandomRecords(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := &machine{seq: map[string]uint64{}, ended: map[string]job.Result{}}
		m.write(rt, "e1", record.Record{Claim: &record.Claim{DataCentre: dc, Term: 1}})
		for i := range 16 {
			m.write(rt, "e1", record.Record{Worker: &record.Worker{
				Name: fmt.Sprintf("w%d", i), DataCentre: dc, Rack: fmt.Sprintf("r%d", i/8), Slots: 8,
				Accelerated: true, Incarnation: "1", Term: 1, State: record.Live,
			}})
		}
		for range 3 {
			m.patch(rt)
		}
		rt.Repeat(map[string]func(*rapid.T){
			"claim": m.claim, "worker": m.worker, "patch": m.patch, "accept": m.accept, "accept2": m.accept,
			"place": m.place, "place2": m.place, "place3": m.place, "requeue": m.requeue, "end": m.end,
			"cancel": m.cancel, "restore": m.restore, "closeOrOpen": m.closeOrOpen,
		})
	})
}

// newLedger returns a ledger with the placer e1, 8 workers in one rack, and two
// organisations: acme with the given guarantee, and lender without one.
func newLedger(t *testing.T, shape rack.Shape) *machine {
	t.Helper()
	m := &machine{seq: map[string]uint64{}, ended: map[string]job.Result{}}
	write := func(r record.Record) {
		m.seq["e1"]++
		r.Host, r.Incarnation, r.Sequence, r.At = "e1", "e1.1", m.seq["e1"], 1
		require.NoError(t, m.l.Apply(m.offset, r).Err)
		m.l.Advance(m.offset)
		m.offset++
	}
	write(record.Record{Claim: &record.Claim{DataCentre: dc, Term: 1}})
	for i := range 8 {
		write(record.Record{Worker: &record.Worker{
			Name: fmt.Sprintf("w%d", i), DataCentre: dc, Rack: "r0", Slots: 8,
			Accelerated: true, Incarnation: "1", Term: 1, State: record.Live,
		}})
	}
	write(record.Record{Patch: &config.Patch{Author: "op", Changes: []config.Change{
		{SetOrganisation: &config.NamedOrganisation{Name: "acme", Organisation: config.Organisation{Guarantee: map[string]rack.Shape{dc: shape}}}},
		{SetOrganisation: &config.NamedOrganisation{Name: "lender"}},
	}}})
	return m
}

func TestPatchVerdicts(t *testing.T) {
	m := newLedger(t, rack.Shape{rack.LevelWorker: 4})
	checkPatch := func(base uint64, s rack.Shape) error {
		_, err := m.l.CheckPatch(&config.Patch{Base: base, Author: "op", Changes: []config.Change{
			{SetOrganisation: &config.NamedOrganisation{Name: "lender", Organisation: config.Organisation{Guarantee: map[string]rack.Shape{dc: s}}}},
		}})
		return err
	}
	for _, c := range []struct {
		name  string
		base  uint64
		shape rack.Shape
		kind  fault.Kind
	}{
		{"fits", 1, rack.Shape{rack.LevelWorker: 4}, ""},
		{"too much", 1, rack.Shape{rack.LevelWorker: 5}, fault.Infeasible},
		{"too whole", 1, rack.Shape{rack.LevelRack: 1}, fault.Infeasible},
		{"small cells of what is left", 1, rack.Shape{rack.LevelSlot: 32}, ""},
		{"one slot too many", 1, rack.Shape{rack.LevelSlot: 33}, fault.Infeasible},
		{"old base", 0, rack.Shape{}, fault.Conflict},
		{"future base", 7, rack.Shape{}, fault.Conflict},
		{"negative", 1, rack.Shape{rack.LevelFour: -1}, fault.Invalid},
	} {
		t.Run(c.name, func(t *testing.T) {
			err := checkPatch(c.base, c.shape)
			require.Equal(t, c.kind, fault.KindOf(err), "%v", err)
		})
	}
	require.ErrorContains(t, checkPatch(0, rack.Shape{}), "version 1 by op: set organisation acme")
	require.ErrorContains(t, checkPatch(0, rack.Shape{}), "current version is 1")
}

// TestIncarnationAgesOut checks that a record of a host whose clock is far ahead
// advances the log time by at most one minute, so that it cannot expire everything.
func TestIncarnationAgesOut(t *testing.T) {
	m := newLedger(t, rack.Shape{})
	now := m.l.Time
	m.l.Apply(m.offset, record.Record{
		Host: "e2", Incarnation: "e2.1", Sequence: 1, At: now + 1_000_000_000_000,
		Cancel: &record.Cancel{Job: "none", By: "x"},
	})
	require.LessOrEqual(t, m.l.Time-now, int64(60_000))
}

func TestDamagedSnapshots(t *testing.T) {
	m := newLedger(t, rack.Shape{})
	data, err := m.l.Snapshot()
	require.NoError(t, err)
	for _, c := range []struct {
		name string
		data []byte
	}{
		{"empty", nil}, {"cut", data[:len(data)/2]}, {"no gzip", []byte("x")},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := ledger.Restore(c.data)
			require.Equal(t, fault.Invalid, fault.KindOf(err))
		})
	}
}

func TestJoiner(t *testing.T) {
	big := make([]byte, 2*ledger.ChunkSize+17)
	for i := range big {
		big[i] = byte(i * 7)
	}
	old, fresh := ledger.SplitSnapshot("old", 5, []byte("old")), ledger.SplitSnapshot("new", 9, big)
	require.Len(t, fresh, 3)
	var j ledger.Joiner
	j.Add(fresh[2])
	j.Add(old[0])
	require.EqualValues(t, 5, j.Next)
	j.Add(fresh[0])
	require.EqualValues(t, 5, j.Next, "an incomplete snapshot is ignored")
	damaged := fresh[1]
	damaged.Data = append([]byte{1}, damaged.Data[1:]...)
	j.Add(damaged)
	require.EqualValues(t, 5, j.Next, "a damaged snapshot is ignored")
	for _, c := range fresh {
		j.Add(c)
	}
	require.EqualValues(t, 9, j.Next)
	require.Equal(t, big, j.Data)
	j.Add(old[0])
	require.EqualValues(t, 9, j.Next, "an older snapshot does not replace a newer one")
}

// TestPartialPlace checks that placements with too few or too many members, with the
// same cell twice or on an unknown worker are rejected.
func TestPartialPlace(t *testing.T) {
	m := newLedger(t, rack.Shape{rack.LevelWorker: 4})
	spec := job.Spec{Organisation: "acme", Class: "c", Members: 3, Accelerators: 8, Adjacency: rack.AdjacencyRack}
	v := m.l.Apply(m.offset, record.Record{Host: "e2", Incarnation: "e2.1", Sequence: 1, At: 2,
		Accept: &record.Accept{Job: "j", Spec: spec, DataCentre: dc}})
	require.NoError(t, v.Err)
	checkPlace := func(workers ...string) error {
		p := &record.Place{Job: "j", Attempt: 1, Term: 1}
		for _, w := range workers {
			p.Members = append(p.Members, record.Member{Worker: w, Incarnation: "1", Mask: 0xff})
		}
		return m.l.CheckPlace(m.l.Jobs["j"], p)
	}
	require.NoError(t, checkPlace("w0", "w1", "w2"))
	for _, workers := range [][]string{{}, {"w0"}, {"w0", "w1"}, {"w0", "w1", "w2", "w3"}, {"w0", "w1", "w1"}, {"w0", "w1", "none"}} {
		require.Equal(t, fault.Refused, fault.KindOf(checkPlace(workers...)), "%v", workers)
	}
}

// TestNotRunAfterStart checks that a job cannot end as notRun once an attempt may
// have started, and that cancelling it then ends it as failed.
func TestNotRunAfterStart(t *testing.T) {
	m := newLedger(t, rack.Shape{})
	seq := uint64(100)
	write := func(r record.Record) ledger.Verdict {
		seq++
		r.Host, r.Incarnation, r.Sequence, r.At = "e1", "e1.1", seq, 5
		v := m.l.Apply(m.offset, r)
		m.l.Advance(m.offset)
		m.offset++
		return v
	}
	require.NoError(t, write(record.Record{Accept: &record.Accept{Job: "j", DataCentre: dc,
		Spec: job.Spec{Organisation: "lender", Class: "c", Accelerators: 8}}}).Err)
	require.NoError(t, write(record.Record{Place: &record.Place{Job: "j", Attempt: 1, Term: 1,
		Members: []record.Member{{Worker: "w0", Incarnation: "1", Mask: 0xff}}}}).Err)
	require.NoError(t, write(record.Record{Requeue: &record.Requeue{Job: "j", Attempt: 1, Term: 1}}).Err)
	end := record.Record{End: &record.End{Job: "j", Attempt: 1, Term: 1, Outcome: job.NewOutcome(job.NotRun, fault.Refused, "x", "y")}}
	require.Error(t, write(end).Err)
	v := write(record.Record{Cancel: &record.Cancel{Job: "j", By: "clerk"}})
	require.True(t, v.Ended)
	require.Equal(t, job.Failed, v.Job.Outcome.Result, "an attempt may have run")
}

// TestOldTermIsRefused checks that a placer that has lost its role can write none of
// a placer's records, neither with its own term nor with that of its successor.
func TestOldTermIsRefused(t *testing.T) {
	m := newLedger(t, rack.Shape{})
	seq := map[string]uint64{"e1": 100}
	write := func(host string, r record.Record) ledger.Verdict {
		seq[host]++
		r.Host, r.Incarnation, r.Sequence, r.At = host, host+".1", seq[host], 5
		v := m.l.Apply(m.offset, r)
		m.l.Advance(m.offset)
		m.offset++
		return v
	}
	accept := func(id string) {
		require.NoError(t, write("e3", record.Record{Accept: &record.Accept{Job: id, DataCentre: dc,
			Spec: job.Spec{Organisation: "lender", Class: "c", Accelerators: 8}}}).Err)
	}
	place := func(id, worker string, term uint64) record.Record {
		return record.Record{Place: &record.Place{Job: id, Attempt: 1, Term: term,
			Members: []record.Member{{Worker: worker, Incarnation: "1", Mask: 0xff}}}}
	}
	accept("running")
	accept("waiting")
	require.NoError(t, write("e1", place("running", "w0", 1)).Err)
	require.NoError(t, write("e2", record.Record{Claim: &record.Claim{DataCentre: dc, Term: 2}}).Err)
	for _, term := range []uint64{1, 2} {
		for _, r := range []record.Record{
			{Requeue: &record.Requeue{Job: "running", Attempt: 1, Term: term}},
			{End: &record.End{Job: "running", Attempt: 1, Term: term, Outcome: job.Outcome{Result: job.Completed}}},
			place("waiting", "w1", term),
			{Worker: &record.Worker{Name: "w5", DataCentre: dc, Rack: "r0", Slots: 8, Accelerated: true, Incarnation: "1", Term: term, State: record.Gone}},
		} {
			require.Equal(t, fault.Conflict, fault.KindOf(write("e1", r).Err), "%+v", r)
		}
	}
	require.Equal(t, ledger.Placed, m.l.Jobs["running"].State)
	require.NoError(t, write("e2", place("waiting", "w1", 2)).Err)
}

// TestWrongClockForgetsNoKey has a host whose clock is far ahead and that writes on. A repeat of
// a completed at-most-once request must still be known: it would run twice.
func TestWrongClockForgetsNoKey(t *testing.T) {
	m := newLedger(t, rack.Shape{})
	write := func(host string, at int64, r record.Record) ledger.Verdict {
		m.seq[host]++
		r.Host, r.Incarnation, r.Sequence, r.At = host, host+".1", m.seq[host], at
		v := m.l.Apply(m.offset, r)
		m.l.Advance(m.offset)
		m.offset++
		return v
	}
	spec := job.Spec{Organisation: "acme", Class: "plan", Key: "bill", Members: 1, AtMostOnce: true}
	require.NoError(t, write("e1", 1, record.Record{Accept: &record.Accept{Job: "j", DataCentre: dc, Spec: spec}}).Err)
	require.NoError(t, write("e1", 1, record.Record{End: &record.End{Job: "j", Term: 1, Outcome: job.Outcome{Result: job.Completed}}}).Err)
	for range 7*24*60 + 300 {
		write("e2", 1_000_000_000_000, record.Record{Cancel: &record.Cancel{Job: "none", By: "x"}})
	}
	require.True(t, write("e1", 2, record.Record{Accept: &record.Accept{Job: "k", DataCentre: dc, Spec: spec}}).KnownKey)
}
