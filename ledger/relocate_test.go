package ledger

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/limpetrelay/limpetrelay/config"
	"github.com/limpetrelay/limpetrelay/fault"
	"github.com/limpetrelay/limpetrelay/job"
	"github.com/limpetrelay/limpetrelay/rack"
	"github.com/limpetrelay/limpetrelay/record"
)

// twoDataCentres is a ledger with data centres a and b of one worker each. Data
// centre b has a placed at-most-once job "once", a placed repeatable job "plan" and a
// queued job "waits".
type twoDataCentres struct {
	t *testing.T
	l Ledger
	// sequence is the sequence number of the last record.
	sequence uint64
}

// write applies a record, asserts the invariants and returns the verdict.
func (f *twoDataCentres) write(r record.Record) Verdict {
	f.sequence++
	r.Host, r.Incarnation, r.Sequence, r.At = "e", "e.1", f.sequence, 1
	v := f.l.Apply(f.l.Next, r)
	f.l.Advance(f.l.Next)
	broken, _ := f.l.CheckInvariants()
	require.Empty(f.t, broken)
	return v
}

// accept submits a job with four accelerators to data centre b.
func (f *twoDataCentres) accept(id string, once bool) Verdict {
	return f.write(record.Record{Accept: &record.Accept{Job: id, DataCentre: "b", Spec: job.Spec{
		Organisation: "acme", Class: "plan", Key: id, AtMostOnce: once, Accelerators: 4,
	}}})
}

// patch applies a patch with the given changes to the current version.
func (f *twoDataCentres) patch(changes ...config.Change) Verdict {
	return f.write(record.Record{Patch: &config.Patch{Base: f.l.Config.Version, Author: "op", Changes: changes}})
}

// newTwoDataCentres returns a populated twoDataCentres.
func newTwoDataCentres(t *testing.T) *twoDataCentres {
	t.Helper()
	f := &twoDataCentres{t: t}
	for _, dc := range []string{"a", "b"} {
		require.NoError(t, f.write(record.Record{Claim: &record.Claim{DataCentre: dc, Term: 1}}).Err)
		require.NoError(t, f.write(record.Record{Worker: &record.Worker{
			Name: dc + "-w", DataCentre: dc, Rack: "r", Slots: 8, Accelerated: true, Incarnation: "1", State: record.Live, Term: 1,
		}}).Err)
	}
	require.NoError(t, f.patch(config.Change{SetOrganisation: &config.NamedOrganisation{Name: "acme"}}).Err)
	for i, id := range []string{"once", "plan", "waits"} {
		require.NoError(t, f.accept(id, id == "once").Err)
		if id != "waits" {
			require.NoError(t, f.write(f.place(id, "b", 1, rack.Mask(0xf<<(4*i)))).Err)
		}
	}
	return f
}

// place returns a record that places a job on the worker of dc.
func (f *twoDataCentres) place(id, dc string, attempt int, m rack.Mask) record.Record {
	return record.Record{Place: &record.Place{Job: id, Attempt: attempt, Term: 1, Members: []record.Member{
		{Worker: dc + "-w", Incarnation: "1", Mask: m},
	}}}
}

// closeChange returns a change that closes a data centre.
func closeChange(dc string, lost bool) config.Change {
	return config.Change{CloseDataCentre: &config.NamedClosing{Name: dc, Closing: config.Closing{Lost: lost}}}
}

func TestClosedDataCentre(t *testing.T) {
	f := newTwoDataCentres(t)
	require.NoError(t, f.patch(closeChange("b", false)).Err)
	require.Equal(t, "a", f.l.Jobs["waits"].DataCentre, "a queued job moves")
	require.Equal(t, Placed, f.l.Jobs["plan"].State, "a placed job continues")
	require.Equal(t, fault.Infeasible, fault.KindOf(f.accept("late", false).Err))
	require.NoError(t, f.write(record.Record{Requeue: &record.Requeue{Job: "plan", Attempt: 1, Term: 1}}).Err)
	require.Equal(t, "a", f.l.Jobs["plan"].DataCentre, "it moves when it is queued again")
	require.Error(t, f.write(f.place("plan", "b", 2, 0xf0)).Err)
	require.NoError(t, f.patch(config.Change{OpenDataCentre: "b"}).Err)
	require.NoError(t, f.accept("late", false).Err)
}

func TestLostDataCentre(t *testing.T) {
	f := newTwoDataCentres(t)
	require.NoError(t, f.patch(closeChange("b", true)).Err)
	once, plan := f.l.Jobs["once"], f.l.Jobs["plan"]
	require.Equal(t, Finished, once.State)
	require.Equal(t, job.Unknown, once.Outcome.Result)
	require.Equal(t, Queued, plan.State)
	require.Equal(t, "a", plan.DataCentre)
	// The placer of the lost data centre does not know yet that it is lost.
	require.Error(t, f.write(record.Record{End: &record.End{Job: "once", Attempt: 1, Term: 1, Outcome: job.Outcome{Result: job.Completed}}}).Err)
	require.NoError(t, f.write(f.place("plan", "a", 2, 0xf)).Err)
	v := f.accept("once", true)
	require.True(t, v.KnownKey, "the request key stays known")
}

func TestNoOpenDataCentre(t *testing.T) {
	f := newTwoDataCentres(t)
	require.NoError(t, f.patch(closeChange("a", false), closeChange("b", true)).Err)
	require.Equal(t, "b", f.l.Jobs["waits"].DataCentre, "no open data centre can hold it, so it stays queued in its own")
	require.ErrorContains(t, f.write(f.place("waits", "b", 1, 0xf)).Err, "closed")
	require.Equal(t, Queued, f.l.Jobs["plan"].State)
	require.NoError(t, f.patch(config.Change{OpenDataCentre: "a"}).Err)
	require.Equal(t, "a", f.l.Jobs["waits"].DataCentre)
	require.Equal(t, "a", f.l.Jobs["plan"].DataCentre)
	for _, c := range []config.Change{closeChange("nowhere", false), closeChange("", false), {OpenDataCentre: "a"}} {
		v := f.patch(c)
		require.Error(t, v.Err, "%+v", c)
		require.NotEmpty(t, fault.As(v.Err).Remedy)
	}
}
