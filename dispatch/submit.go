package dispatch

import (
	"fmt"
	"slices"

	"github.com/limpetrelay/limpetrelay/fault"
	"github.com/limpetrelay/limpetrelay/job"
	"github.com/limpetrelay/limpetrelay/ledger"
	"github.com/limpetrelay/limpetrelay/record"
)

// maxSubmits bounds the callers that wait for the log's verdict.
const maxPending = 4096

// onSubmit takes a job. Small repeatable requests go straight to a worker;
// everything else is recorded first.
func (s *State) onSubmit(e *Submit) {
	if err := s.checkServing(); err != nil {
		s.replyError(e.Waiter, err)
		return
	}
	if err := e.Spec.Validate(); err != nil {
		s.replyError(e.Waiter, err)
		return
	}
	if v, known := s.Ledger.Known(&e.Spec); known {
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

// record queues the job for the log.
func (s *State) recordJob(e *Submit, dc string) {
	if s.logDown {
		s.replyError(e.Waiter, fault.New(fault.Unavailable, "nothing was done: the log is down and this request must be recorded",
			"submit it again later, or as a repeatable request of one member without a key"))
		return
	}
	if len(s.pendingRecords) >= maxPending {
		s.replyError(e.Waiter, fault.New(fault.Overloaded, "too many requests wait for the log", "submit it again later"))
		return
	}
	id := fmt.Sprintf("%s-%d", s.Incarnation, s.sequence+1)
	seq := s.enqueueRecord(record.Record{Accept: &record.Accept{Job: id, Spec: e.Spec, DataCentre: dc}})
	s.pendingRecords[seq] = pendingRecord{waiter: e.Waiter, deadline: s.now + s.AcceptTimeout, wait: e.Wait}
}

// admit refuses requests that this host cannot serve now.
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

// chooseDataCentre returns the own data centre when it can ever hold the job,
// and otherwise the first other one that can. The error is the own one's.
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

// isSmall reports whether a request needs no record: one repeatable member of
// short declared run time whose caller waits. A keyed request is always recorded:
// without a record nobody could say later, at another host, that it did not run.
func (s *State) isSmall(e *Submit) bool {
	sp := &e.Spec
	return sp.Members <= 1 && !sp.Once && e.Wait > 0 &&
		sp.RunTime > 0 && sp.RunTime <= s.SmallMaxRunTime && sp.RunTime <= e.Wait && sp.Key == ""
}

// settleSubmit answers the caller whose record r got a verdict.
func (s *State) replyVerdict(r *record.Record, v ledger.Verdict) {
	sub, ok := s.pendingRecords[r.Sequence]
	if !ok {
		return
	}
	delete(s.pendingRecords, r.Sequence)
	switch {
	case v.Err != nil:
		s.replyError(sub.waiter, v.Err)
	case r.Patch != nil:
		c := s.Ledger.Config.Clone()
		s.reply(Reply{Waiter: sub.waiter, Version: v.Version, Config: &c})
	case v.Known:
		s.replyKnown(sub.waiter, v, sub.wait)
	case v.Job != nil:
		s.replyOnEnd(sub.waiter, v.Job.ID, sub.wait)
	}
}

// replyKnown answers a caller whose key names a known request.
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

// waitFor answers a caller when job id ends or its time is over.
func (s *State) replyOnEnd(waiter, id string, ms int64) {
	j := s.Ledger.Jobs[id]
	if j == nil || j.State == ledger.Finished || ms <= 0 || s.draining {
		s.replyJob(waiter, id)
		return
	}
	s.jobWaits[id] = append(s.jobWaits[id], jobWait{waiter: waiter, deadline: s.now + ms})
}

// parkFor is how long a question about an unknown job is kept, in milliseconds.
// It covers the time in which a record reaches all hosts.
const deferQueryFor = 1000

// park keeps a question about an unknown job for a while. It reports false
// when the question has been kept long enough, or too many are.
func (s *State) deferQuery(e Event) bool {
	if s.answeringDeferred || s.draining || len(s.deferred) >= maxPending {
		return false
	}
	s.deferred = append(s.deferred, deferredQuery{event: e, deadline: s.now + deferQueryFor})
	return true
}

// answerParked answers the kept questions whose job has arrived or whose time
// is over.
func (s *State) answerDeferred() {
	keep := s.deferred[:0]
	for _, p := range s.deferred {
		if s.now < p.deadline && !s.jobKnown(&p.event) && !s.draining {
			keep = append(keep, p)
			continue
		}
		s.answeringDeferred = true
		s.handle(&p.event)
		s.answeringDeferred = false
	}
	s.deferred = keep
}

// knows reports whether the job of a question is known.
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

// onWait answers a question about a job.
func (s *State) onWait(e *Wait) {
	if ev := (Event{Wait: e}); !s.jobKnown(&ev) && s.deferQuery(ev) {
		return
	}
	if e.Job == "" {
		k := s.Ledger.Keys[ledger.RequestKey(e.Organisation, e.Key)]
		if k == nil {
			s.replyError(e.Waiter, fault.Newf(fault.NotFound, "check the key, or submit the request",
				"no request of organisation %s has the key %q at this host's point of the log", e.Organisation, e.Key))
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

// onPatch checks a patch and records it.
func (s *State) onPatch(e *Patch) {
	if err := s.checkServing(); err != nil {
		s.replyError(e.Waiter, err)
		return
	}
	next, err := s.Ledger.CheckPatch(&e.Patch)
	// A base that this host has not heard of yet is for the log to judge.
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

// onAbandon forgets a caller. Its small request is stopped; a recorded job
// goes on.
func (s *State) onAbandon(e *Disconnect) {
	for id, ws := range s.jobWaits {
		for i, w := range ws {
			if w.waiter == e.Waiter {
				s.jobWaits[id] = append(ws[:i:i], ws[i+1:]...)
				return
			}
		}
	}
	s.deferred = slices.DeleteFunc(s.deferred, func(p deferredQuery) bool {
		return p.event.Wait != nil && p.event.Wait.Waiter == e.Waiter
	})
	s.dropSmall(e.Waiter)
}
