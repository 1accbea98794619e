package dispatch

import (
	"fmt"
	"slices"

	"github.com/limpetrelay/limpetrelay/fault"
	"github.com/limpetrelay/limpetrelay/job"
	"github.com/limpetrelay/limpetrelay/ledger"
	"github.com/limpetrelay/limpetrelay/record"
)

// maxPending is the maximum number of callers that wait for a verdict, and of
// deferred queries.
const maxPending = 4096

// onSubmit processes a submitted job. Small requests go straight to a worker;
// all other jobs are recorded first.
func (s *State) onSubmit(e *Submit) {
	if err := s.checkServing(); err != nil {
		s.replyError(e.Waiter, err)
		return
	}
	if err := e.Spec.Validate(); err != nil {
		s.replyError(e.Waiter, err)
		return
	}
	if v, known := s.Ledger.LookupRequest(&e.Spec); known {
		s.replyKnown(e.Waiter, v, e.Wait)
		return
	}
	dc, err := s.chooseDataCentre(&e.Spec)
	if err != nil {
		s.replyError(e.Waiter, err)
		return
	}
	if s.isSmall(e) && dc == s.DataCentre {
		s.acceptSmall(e)
		return
	}
	s.recordJob(e, dc)
}

// recordJob queues the job's Accept record for the log.
func (s *State) recordJob(e *Submit, dc string) {
	if s.logDown {
		s.replyError(e.Waiter, fault.New(fault.Unavailable, "nothing was done: the log is down and this request must be recorded",
			"submit it again later, or as a repeatable request of one member without a key"))
		return
	}
	if len(s.pendingRecords) >= maxPending {
		s.replyError(e.Waiter, fault.New(fault.Overloaded, "too many requests are waiting for the log", "submit it again later"))
		return
	}
	if err := s.checkRoom(&e.Spec); err != nil {
		s.replyError(e.Waiter, err)
		return
	}
	id := fmt.Sprintf("%s-%d", s.Incarnation, s.sequence+1)
	seq := s.enqueueRecord(record.Record{Accept: &record.Accept{Job: id, Spec: e.Spec, DataCentre: dc}})
	s.pendingRecords[seq] = pendingRecord{waiter: e.Waiter, deadline: s.now + s.AcceptTimeout, wait: e.Wait}
}

// checkServing returns an error when this host cannot serve requests now.
func (s *State) checkServing() error {
	switch {
	case s.draining:
		return fault.New(fault.Draining, "nothing was done: this host is shutting down", "use another host")
	case !s.Ready:
		why := s.NotReadyReason
		if why == "" {
			why = "it has not caught up with the log yet"
		}
		return fault.Newf(fault.Unavailable, "use another host", "nothing was done: this host is not ready: %s", why)
	}
	return nil
}

// chooseDataCentre returns this host's data centre unless the job is infeasible
// there, and otherwise the first other one that accepts the job. The error is
// that of this host's data centre.
func (s *State) chooseDataCentre(spec *job.Spec) (string, error) {
	err := s.Ledger.CheckAccept(s.DataCentre, spec)
	if fault.KindOf(err) != fault.Infeasible {
		return s.DataCentre, err
	}
	dcs := map[string]bool{}
	for _, w := range s.Ledger.Workers {
		dcs[w.DataCentre] = true
	}
	for _, dc := range sortedKeys(dcs) {
		if s.Ledger.CheckAccept(dc, spec) == nil {
			return dc, nil
		}
	}
	return "", err
}

// isSmall reports whether a request needs no record: a repeatable job of one
// member with a short declared run time, whose caller waits for its end. A
// request with a key is always recorded: without a record, no other host could
// confirm later that it did not run.
func (s *State) isSmall(e *Submit) bool {
	sp := &e.Spec
	return sp.Members <= 1 && !sp.AtMostOnce && e.Wait > 0 &&
		sp.RunTime > 0 && sp.RunTime <= s.SmallMaxRunTime && sp.RunTime <= e.Wait && sp.Key == ""
}

// replyVerdict answers the caller whose record r got verdict v.
func (s *State) replyVerdict(r *record.Record, v ledger.Verdict) {
	p, ok := s.pendingRecords[r.Sequence]
	if !ok {
		return
	}
	delete(s.pendingRecords, r.Sequence)
	switch {
	case v.Err != nil:
		s.replyError(p.waiter, v.Err)
	case r.Patch != nil:
		c := s.Ledger.Config.Clone()
		s.reply(Reply{Waiter: p.waiter, Version: v.Version, Config: &c})
	case v.KnownKey:
		s.replyKnown(p.waiter, v, p.wait)
	case v.Job != nil:
		s.replyOnEnd(p.waiter, v.Job.ID, p.wait)
	}
}

// replyKnown answers a caller whose request key is already known.
func (s *State) replyKnown(waiter string, v ledger.Verdict, wait int64) {
	if v.Err != nil {
		s.replyError(waiter, v.Err)
		return
	}
	if v.Job == nil {
		o := v.Key.Outcome
		s.reply(Reply{Waiter: waiter, Job: v.Key.Job, State: ledger.Finished, Outcome: &o})
		return
	}
	s.replyOnEnd(waiter, v.Job.ID, wait)
}

// replyOnEnd answers a caller when job id ends, or after timeout milliseconds.
func (s *State) replyOnEnd(waiter, id string, timeout int64) {
	j := s.Ledger.Jobs[id]
	if j == nil || j.State == ledger.Finished || timeout <= 0 || s.draining {
		s.replyJob(waiter, id)
		return
	}
	s.jobWaits[id] = append(s.jobWaits[id], jobWait{waiter: waiter, deadline: s.now + timeout})
}

// deferQueryFor is how long a query about an unknown job is deferred, in
// milliseconds. It covers the time that a record takes to reach all hosts.
const deferQueryFor = 1000

// deferQuery defers a query about an unknown job. It reports false when the
// query has already been deferred, too many are, or the host is draining.
func (s *State) deferQuery(e Event) bool {
	if s.answeringDeferred || s.draining || len(s.deferred) >= maxPending {
		return false
	}
	s.deferred = append(s.deferred, deferredQuery{event: e, deadline: s.now + deferQueryFor})
	return true
}

// answerDeferred answers the deferred queries whose job has become known or
// whose deadline has passed.
func (s *State) answerDeferred() {
	kept := s.deferred[:0]
	for _, q := range s.deferred {
		if s.now < q.deadline && !s.jobKnown(&q.event) && !s.draining {
			kept = append(kept, q)
			continue
		}
		s.answeringDeferred = true
		s.handle(&q.event)
		s.answeringDeferred = false
	}
	s.deferred = kept
}

// jobKnown reports whether the ledger contains the job of a query.
func (s *State) jobKnown(e *Event) bool {
	switch {
	case e.Cancel != nil:
		return s.Ledger.Jobs[e.Cancel.Job] != nil
	case e.Wait.Job != "":
		return s.Ledger.Jobs[e.Wait.Job] != nil
	default:
		return s.Ledger.Keys[ledger.RequestKey(e.Wait.Organisation, e.Wait.Key)] != nil
	}
}

// onWait answers a query about a job.
func (s *State) onWait(e *Wait) {
	if ev := (Event{Wait: e}); !s.jobKnown(&ev) && s.deferQuery(ev) {
		return
	}
	if e.Job == "" {
		k := s.Ledger.Keys[ledger.RequestKey(e.Organisation, e.Key)]
		if k == nil {
			s.replyError(e.Waiter, fault.Newf(fault.NotFound, "check the key, or submit the request",
				"this host's copy of the log has no request of organisation %s with the key %q", e.Organisation, e.Key))
			return
		}
		s.replyKnown(e.Waiter, ledger.Verdict{Job: s.Ledger.Jobs[k.Job], Key: k}, e.Wait)
		return
	}
	s.replyOnEnd(e.Waiter, e.Job, e.Wait)
}

// onCancel records a cancellation.
func (s *State) onCancel(e *Cancel) {
	j := s.Ledger.Jobs[e.Job]
	if j == nil && s.deferQuery(Event{Cancel: e}) {
		return
	}
	switch {
	case j == nil, j.State == ledger.Finished:
		s.replyJob(e.Waiter, e.Job)
		return
	case s.draining:
		s.replyError(e.Waiter, s.checkServing())
		return
	case s.logDown:
		s.replyError(e.Waiter, fault.New(fault.Unavailable, "nothing was done: the log is down", "cancel it again later"))
		return
	}
	seq := s.enqueueRecord(record.Record{Cancel: &record.Cancel{Job: e.Job, By: e.By}})
	s.pendingRecords[seq] = pendingRecord{waiter: e.Waiter, deadline: s.now + s.AcceptTimeout, cancel: true}
}

// onPatch validates a patch and records it.
func (s *State) onPatch(e *Patch) {
	if err := s.checkServing(); err != nil {
		s.replyError(e.Waiter, err)
		return
	}
	next, err := s.Ledger.CheckPatch(&e.Patch)
	// The log decides on a patch whose base version this host has not seen yet.
	ahead := e.Patch.Base > s.Ledger.Config.Version && !e.DryRun
	switch {
	case err != nil && !ahead:
		s.replyError(e.Waiter, err)
	case e.DryRun:
		s.reply(Reply{Waiter: e.Waiter, Version: next.Version, Config: &next})
	case s.logDown:
		s.replyError(e.Waiter, fault.New(fault.Unavailable, "nothing was done: the log is down", "submit the patch again later"))
	default:
		p := e.Patch
		seq := s.enqueueRecord(record.Record{Patch: &p})
		s.pendingRecords[seq] = pendingRecord{waiter: e.Waiter, deadline: s.now + s.AcceptTimeout}
	}
}

// onDisconnect removes a caller that has disconnected. Its small request is
// stopped; a recorded job continues.
func (s *State) onDisconnect(e *Disconnect) {
	for id, ws := range s.jobWaits {
		for i, w := range ws {
			if w.waiter == e.Waiter {
				s.jobWaits[id] = append(ws[:i:i], ws[i+1:]...)
				return
			}
		}
	}
	s.deferred = slices.DeleteFunc(s.deferred, func(q deferredQuery) bool {
		return q.event.Wait != nil && q.event.Wait.Waiter == e.Waiter
	})
	s.dropSmall(e.Waiter)
}
