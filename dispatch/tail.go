package dispatch

import (
	"fmt"

	"github.com/limpetrelay/limpetrelay/fault"
	"github.com/limpetrelay/limpetrelay/ledger"
	"github.com/limpetrelay/limpetrelay/record"
)

// entriesPerCheck is the number of log entries between two checks of the
// ledger's invariants.
const entriesPerCheck = 16

// onTail applies log entries.
func (s *State) onTail(t *Tail) {
	if t.Peer != nil {
		s.onPeer(t.Peer)
	}
	if t.Err != nil {
		s.onTailError(t)
		return
	}
	if t.Peer == nil {
		s.markLogUp()
	}
	checksBefore := s.Ledger.Next / entriesPerCheck
	for _, e := range t.Page.Entries {
		if e.Offset < s.Ledger.Next {
			continue
		}
		if e.Offset > s.Ledger.Next {
			s.requestSnapshot(fmt.Sprintf("records %d to %d are missing", s.Ledger.Next, e.Offset-1))
			return
		}
		s.applyEntry(e.Offset, e.Data)
	}
	if s.Ledger.Next/entriesPerCheck != checksBefore {
		s.checkInvariants()
	}
	if !s.Ready && s.Ledger.Next >= t.Page.End {
		s.Ready, s.NotReadyReason = true, ""
	}
}

// onTailError processes a failed read: an outage of the log, or a gap that
// requires a snapshot.
func (s *State) onTailError(t *Tail) {
	if t.Peer != nil {
		return
	}
	if fault.KindOf(t.Err) == fault.Gap {
		s.requestSnapshot(fault.As(t.Err).Message)
		return
	}
	s.logDown = true
}

// requestSnapshot stops the host from serving until a snapshot bridges the gap.
// Its ledger is too old for anything but monitoring running tasks.
func (s *State) requestSnapshot(why string) {
	s.Ready, s.NotReadyReason = false, why
	s.emit(Effect{FetchSnapshot: &FetchSnapshot{Reason: why}})
}

// onRestored replaces the ledger by a newer one. The verdicts on this host's
// records that the snapshot covers are lost, so callers are answered from its
// content.
func (s *State) onRestored(r *Restored) {
	if r.Ledger.Next < s.Ledger.Next {
		return
	}
	version := s.Ledger.Config.Version
	s.Ledger = *r.Ledger
	if s.Ledger.Config.Version < version {
		s.reportViolation(fmt.Sprintf("the configuration version decreased from %d to %d", version, s.Ledger.Config.Version))
	}
	s.NotReadyReason = ""
	s.answerFinished()
	s.stopLeading()
	s.checkInvariants()
}

// applyEntry applies one log entry, which is a batch of records.
func (s *State) applyEntry(offset uint64, data []byte) {
	defer s.Ledger.Advance(offset)
	batch, err := record.Decode(data)
	if err != nil {
		s.observe("", "", "undecodableEntries", 1)
		return
	}
	for i := range batch {
		version := s.Ledger.Config.Version
		v := s.Ledger.Apply(offset, batch[i])
		if next := s.Ledger.Config.Version; next != version && next != version+1 {
			s.reportViolation(fmt.Sprintf("the configuration version changed from %d to %d, not to the next one", version, next))
		}
		if v.Repeat {
			continue
		}
		s.onVerdict(&batch[i], v)
	}
}

// onVerdict processes the verdict on a record.
func (s *State) onVerdict(r *record.Record, v ledger.Verdict) {
	if r.Incarnation == s.Incarnation {
		s.replyVerdict(r, v)
	}
	switch {
	case r.Accept != nil:
		s.dirty = true
	case r.Patch != nil && v.Err == nil:
		s.onPatched()
	case r.Claim != nil:
		s.onClaim(r, v)
	case r.Place != nil:
		s.onPlaced(r, v)
	case r.Requeue != nil:
		s.onRequeued(r, v)
	case r.End != nil && v.Err != nil:
		s.onEndRejected(r.End.Job)
	case r.End != nil:
		s.reassessWorker(r.End.FailedOn)
	case r.Cancel != nil && v.Job != nil && !v.Ended:
		s.onCancelled(v.Job)
	case r.Worker != nil:
		s.onWorkerRecord(r.Worker)
	}
	if v.Ended {
		s.onEnded(v.Job)
	}
}

// onEnded discards what this host keeps for a job that has its outcome, and
// answers the callers that wait for it.
func (s *State) onEnded(j *ledger.Job) {
	s.dropAttempt(j.ID)
	delete(s.reservations, j.ID)
	s.dirty = true
	s.answerWaits(j.ID)
	if s.leading && j.DataCentre == s.DataCentre {
		s.observe(j.Spec.Organisation, j.Spec.Class, "completionTime", j.EndedTime-j.AcceptedTime)
		s.observe(j.Spec.Organisation, j.Spec.Class, string(j.Outcome.Result), 1)
	}
}

// answerWaits answers all callers that wait for the end of job id.
func (s *State) answerWaits(id string) {
	ws := s.jobWaits[id]
	delete(s.jobWaits, id)
	for _, w := range ws {
		s.replyJob(w.waiter, id)
	}
}

// replyJob answers a caller with the state of job id.
func (s *State) replyJob(waiter, id string) {
	j := s.Ledger.Jobs[id]
	if j == nil {
		s.replyError(waiter, fault.Newf(fault.NotFound, "check the job ID; ended jobs are kept for a day", "there is no job %q", id))
		return
	}
	r := Reply{Waiter: waiter, Job: id, State: j.State}
	if j.State == ledger.Finished {
		o := j.Outcome
		r.Outcome = &o
	}
	s.reply(r)
}
