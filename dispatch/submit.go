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
const maxSubmits = 4096

// onSubmit takes a job. Small repeatable requests go straight to a worker;
// everything else is recorded first.
func (s *State) onSubmit(e *Submit) {
	if err := s.admit(); err != nil {
		s.refuse(e.Waiter, err)
		return
	}
	if err := e.Spec.Validate(); err != nil {
		s.refuse(e.Waiter, err)
		return
	}
	if v, known := s.Ledger.LookupRequest(&e.Spec); known {
		s.replyKnown(e.Waiter, v, e.Wait)
		return
	}
	dc, err := s.chooseDataCentre(&e.Spec)
	if err != nil {
		s.refuse(e.Waiter, err)
		return
	}
	if s.isSmall(e) && dc == s.DataCentre {
		s.startSmall(e)
		return
	}
	s.record(e, dc)
}

// record queues the job for the log.
func (s *State) record(e *Submit, dc string) {
	if s.logDown {
		s.refuse(e.Waiter, fault.New(fault.Unavailable, "nothing was done: the log is down and this request must be recorded",
			"submit it again later, or as a repeatable request of one member without a key"))
		return
	}
	if len(s.submits) >= maxSubmits {
		s.refuse(e.Waiter, fault.New(fault.Overloaded, "too many requests wait for the log", "submit it again later"))
		return
	}
	id := fmt.Sprintf("%s-%d", s.Incarnation, s.sequence+1)
	seq := s.write(record.Record{Accept: &record.Accept{Job: id, Spec: e.Spec, DataCentre: dc}})
	s.submits[seq] = submit{waiter: e.Waiter, deadline: s.now + s.AcceptTimeout, wait: e.Wait}
}

// admit refuses requests that this host cannot serve now.
func (s *State) admit() error {
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
	return sp.Members <= 1 && !sp.AtMostOnce && e.Wait > 0 &&
		sp.RunTime > 0 && sp.RunTime <= s.SmallMaxRunTime && sp.RunTime <= e.Wait && sp.Key == ""
}

// settleSubmit answers the caller whose record r got a verdict.
func (s *State) settleSubmit(r *record.Record, v ledger.Verdict) {
	sub, ok := s.submits[r.Sequence]
	if !ok {
		return
	}
	delete(s.submits, r.Sequence)
	switch {
	case v.Err != nil:
		s.refuse(sub.waiter, v.Err)
	case r.Patch != nil:
		c := s.Ledger.Config.Clone()
		s.reply(Reply{Waiter: sub.waiter, Version: v.Version, Config: &c})
	case v.KnownKey:
		s.replyKnown(sub.waiter, v, sub.wait)
	case v.Job != nil:
		s.waitFor(sub.waiter, v.Job.ID, sub.wait)
	}
}

// replyKnown answers a caller whose key names a known request.
func (s *State) replyKnown(waiter string, v ledger.Verdict, wait int64) {
	if v.Err != nil {
		s.refuse(waiter, v.Err)
		return
	}
	if v.Job == nil {
		o := v.Key.Outcome
		s.reply(Reply{Waiter: waiter, Job: v.Key.Job, State: ledger.Finished, Outcome: &o})
		return
	}
	s.waitFor(waiter, v.Job.ID, wait)
}

// waitFor answers a caller when job id ends or its time is over.
func (s *State) waitFor(waiter, id string, ms int64) {
	j := s.Ledger.Jobs[id]
	if j == nil || j.State == ledger.Finished || ms <= 0 || s.draining {
		s.replyJob(waiter, id)
		return
	}
	s.waits[id] = append(s.waits[id], wait{waiter: waiter, deadline: s.now + ms})
}

// parkFor is how long a question about an unknown job is kept, in milliseconds.
// It covers the time in which a record reaches all hosts.
const parkFor = 1000

// park keeps a question about an unknown job for a while. It reports false
// when the question has been kept long enough, or too many are.
func (s *State) park(e Event) bool {
	if s.unparking || s.draining || len(s.parked) >= maxSubmits {
		return false
	}
	s.parked = append(s.parked, parked{event: e, deadline: s.now + parkFor})
	return true
}

// answerParked answers the kept questions whose job has arrived or whose time
// is over.
func (s *State) answerParked() {
	keep := s.parked[:0]
	for _, p := range s.parked {
		if s.now < p.deadline && !s.knows(&p.event) && !s.draining {
			keep = append(keep, p)
			continue
		}
		s.unparking = true
		s.event(&p.event)
		s.unparking = false
	}
	s.parked = keep
}

// knows reports whether the job of a question is known.
func (s *State) knows(e *Event) bool {
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
	if ev := (Event{Wait: e}); !s.knows(&ev) && s.park(ev) {
		return
	}
	if e.Job == "" {
		k := s.Ledger.Keys[ledger.RequestKey(e.Organisation, e.Key)]
		if k == nil {
			s.refuse(e.Waiter, fault.Newf(fault.NotFound, "check the key, or submit the request",
				"no request of organisation %s has the key %q at this host's point of the log", e.Organisation, e.Key))
			return
		}
		s.replyKnown(e.Waiter, ledger.Verdict{Job: s.Ledger.Jobs[k.Job], Key: k}, e.Wait)
		return
	}
	s.waitFor(e.Waiter, e.Job, e.Wait)
}

// onCancel records a cancellation.
func (s *State) onCancel(e *Cancel) {
	j := s.Ledger.Jobs[e.Job]
	if j == nil && s.park(Event{Cancel: e}) {
		return
	}
	switch {
	case j == nil, j.State == ledger.Finished:
		s.replyJob(e.Waiter, e.Job)
		return
	case s.draining:
		s.refuse(e.Waiter, s.admit())
		return
	case s.logDown:
		s.refuse(e.Waiter, fault.New(fault.Unavailable, "nothing was done: the log is down", "cancel it again later"))
		return
	}
	seq := s.write(record.Record{Cancel: &record.Cancel{Job: e.Job, By: e.By}})
	s.submits[seq] = submit{waiter: e.Waiter, deadline: s.now + s.AcceptTimeout, cancel: true}
}

// onPatch checks a patch and records it.
func (s *State) onPatch(e *Patch) {
	if err := s.admit(); err != nil {
		s.refuse(e.Waiter, err)
		return
	}
	next, err := s.Ledger.CheckPatch(&e.Patch)
	// A base that this host has not heard of yet is for the log to judge.
	ahead := e.Patch.Base > s.Ledger.Config.Version && !e.DryRun
	switch {
	case err != nil && !ahead:
		s.refuse(e.Waiter, err)
	case e.DryRun:
		s.reply(Reply{Waiter: e.Waiter, Version: next.Version, Config: &next})
	case s.logDown:
		s.refuse(e.Waiter, fault.New(fault.Unavailable, "nothing was done: the log is down", "submit the patch again later"))
	default:
		p := e.Patch
		seq := s.write(record.Record{Patch: &p})
		s.submits[seq] = submit{waiter: e.Waiter, deadline: s.now + s.AcceptTimeout}
	}
}

// onAbandon forgets a caller. Its small request is stopped; a recorded job
// goes on.
func (s *State) onAbandon(e *Disconnect) {
	for id, ws := range s.waits {
		for i, w := range ws {
			if w.waiter == e.Waiter {
				s.waits[id] = append(ws[:i:i], ws[i+1:]...)
				return
			}
		}
	}
	s.parked = slices.DeleteFunc(s.parked, func(p parked) bool {
		return p.event.Wait != nil && p.event.Wait.Waiter == e.Waiter
	})
	s.abandonSmall(e.Waiter)
}
