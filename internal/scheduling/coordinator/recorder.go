package coordinator

import (
	"log/slog"

	"github.com/limpetrelay/limpetrelay/internal/scheduling/jobspec"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/jobstate"
)

// recorder collects changes into batches of records, one batch in flight at a time,
// and holds back the placements that wait for their batch to be written.
type recorder struct {
	// dirtyJobs holds the jobs with changes that are in no batch yet, in the order of
	// their first change.
	dirtyJobs []*job
	// startedJobs holds the open jobs of which a run has begun that is not recorded for callers.
	startedJobs []*job
	// firstPlaced is set if the next batch has the first placement of a job.
	firstPlaced bool
	// detailsToDrop holds the IDs of jobs whose details are to be dropped.
	detailsToDrop []string
	// recordsToDrop holds the IDs of jobs whose records are to be dropped.
	recordsToDrop []string
	// endedJobs holds the jobs whose ends are in the last batch.
	endedJobs []*job
	// batch is the number of the last batch sent, and written that of the last one
	// in the store.
	batch, written uint64
	// renewalDue is set if the claim is to be renewed at once.
	renewalDue bool
	// renewals counts the renewals of the claim under this term.
	renewals uint64
	// unrecordedUnits holds the units whose placement is not in the store yet, in the
	// order of placement.
	unrecordedUnits []*unit
	// renewedAt is when the last renewal was sent.
	renewedAt int64
	// recordedLeases holds what the store says of leases once the last batch sent is written,
	// by worker ID. The bounds of leases were last refreshed at leasesRefreshedAt.
	recordedLeases    map[string]recordedLease
	leasesRefreshedAt int64
}

// nextBatch returns the number of the batch that will contain a change made now.
func (s *State) nextBatch() uint64 { return s.batch + 1 }

// markDirty schedules a job to be recorded in the next batch. It must be called for each
// change of the job's tasks.
func (s *State) markDirty(j *job) {
	j.requestsValid = false
	if !j.dirty {
		j.dirty = true
		s.dirtyJobs = append(s.dirtyJobs, j)
	}
}

// flush sends the next batch if no other is in flight and there is something to write
// or the claim is due for renewal.
func (s *State) flush() {
	if s.batch != s.written || s.resigned {
		return
	}
	r := Record{Batch: s.batch + 1}
	for _, id := range s.detailsToDrop {
		// The job's end is already in the store, so its details are obsolete.
		r.Details = append(append(r.Details, s.dropParts(id)...), jobstate.DropDetailRecord(id))
	}
	s.detailsToDrop = s.detailsToDrop[:0]
	// A job whose progress cannot be recorded ends, and is recorded as such.
	for i := 0; i < len(s.dirtyJobs); i++ {
		j := s.dirtyJobs[i]
		j.dirty = false
		j.progress.Term = s.Term
		if err := s.recordJob(&r, j); err != nil {
			s.log("job not recorded", slog.String("id", j.id), slog.String("error", err.Error()))
			if !j.progress.State.Ended() {
				s.endJob(j, jobspec.Failed, "its progress cannot be recorded")
			}
		}
	}
	clear(s.dirtyJobs)
	s.dirtyJobs = s.dirtyJobs[:0]
	for _, id := range s.recordsToDrop {
		r.Records = append(r.Records, jobstate.DropRecords(id)...)
	}
	s.recordsToDrop = nil
	// The start orders that wait for the batch expire with the claim. That of a new job is renewed,
	// so that its first tasks start while the store is slow.
	renew := len(r.Records) > 0 || s.renewalDue || s.firstPlaced || s.now >= s.renewedAt+s.RenewInterval
	s.firstPlaced = false
	if !renew && len(r.Details) == 0 {
		return
	}
	// Leases are recorded with the placements that make them longer, and so before the starts.
	s.recordLeases(&r)
	s.recordPaces(&r)
	if renew {
		s.recordStartedJobs(&r)
		s.renewals++
		c, err := jobstate.ClaimRecord(s.Claim())
		if err != nil {
			s.log("claim renewal not recorded", slog.String("error", err.Error()))
			return
		}
		r.Records = append(r.Records, c)
		s.renewedAt, s.renewalDue = s.now, false
	}
	s.batch = r.Batch
	s.charge(r.size())
	s.effects = append(s.effects, Effect{Record: &r})
}

// Claim returns the claim that renews the role with the next batch.
func (s *State) Claim() *jobstate.Claim {
	c := &jobstate.Claim{
		Host: s.Host, Incarnation: s.Incarnation, Renewal: s.renewals, RenewedTerm: s.Term, SoleLeader: s.predecessorsGone,
		BoundedLeases: !s.UnboundedLeases || s.predecessorsGone,
	}
	if !s.predecessorsGone {
		c.Predecessors = s.Predecessors
	}
	c.Backlogs = s.currentBacklogs()
	return c
}

// Resignation returns the claim that gives up the role. It names the workers that may have
// restarted unseen since the last batch.
func (s *State) Resignation() *jobstate.Claim {
	c := s.Claim()
	c.Resigned = true
	for _, w := range s.sortedWorkers() {
		if s.maybeUnseen(w) && !s.recordedLeases[w.ID].Unseen {
			c.Leases = append(c.Leases, jobstate.WorkerLease{Worker: w.ID, Left: s.allLeasesLeft(w), MaybeUnseen: true})
		}
	}
	return c
}

// size returns the approximate number of bytes that writing the batch takes.
func (r *Record) size() int {
	n := recordOverhead
	for _, rs := range [][]jobstate.Record{r.Details, r.Records} {
		for i := range rs {
			n += len(rs[i].Key) + len(rs[i].Value)
		}
	}
	return n
}

// noteStarted records that a run of a job has begun.
func (s *State) noteStarted(j *job) {
	if j == nil || j.progress.Started || j.progress.State.Ended() {
		return
	}
	j.progress.SetStarted()
	s.startedJobs = append(s.startedJobs, j)
}

// recordStartedJobs adds the records for callers of the jobs that have started to a batch.
func (s *State) recordStartedJobs(r *Record) {
	for _, j := range s.startedJobs {
		view := j.view()
		if j.progress.State.Ended() || j.recordedView == view {
			continue
		}
		p, err := jobstate.ProgressRecord(j.id, j.progress)
		if err != nil {
			s.log("start of job not recorded", slog.String("id", j.id), slog.String("error", err.Error()))
			continue
		}
		j.recordedView = view
		r.Records = append(r.Records, p)
	}
	clear(s.startedJobs)
	s.startedJobs = s.startedJobs[:0]
}

// recordJob adds the records of a job's state to a batch: the details of an open job, whose
// state for callers recordStartedJobs adds, or the end of a job.
func (s *State) recordJob(r *Record, j *job) error {
	if j.progress.State.Ended() {
		view := j.view()
		if j.recordedView == view {
			return nil
		}
		rs, err := jobstate.EndedRecords(j.spec, j.progress)
		if err != nil {
			return err
		}
		j.recordedView = view
		s.endedJobs = append(s.endedJobs, j)
		s.detailsToDrop = append(s.detailsToDrop, j.id)
		r.Records = append(r.Records, rs...)
		return nil
	}
	return s.recordDetails(r, j)
}

// callerView is the part of a job's state that is recorded for callers.
type callerView struct {
	state   jobspec.State
	started bool
}

// view returns the state of the job that callers are to see.
func (j *job) view() callerView {
	return callerView{state: j.progress.State, started: j.progress.Started}
}

// batchRecorded releases the placements, acknowledgements and polls that waited for a
// batch to be written.
func (s *State) batchRecorded(e *Recorded) {
	if e.Batch != s.batch {
		return
	}
	s.written = e.Batch
	s.claimVerifiedAt = max(s.claimVerifiedAt, e.SentAt)
	for _, key := range e.Refused {
		// What runs must be known to the next coordinator.
		r := jobstate.Record{Key: key}
		if j := s.jobs[r.JobID()]; j != nil && !j.progress.State.Ended() {
			s.endJob(j, jobspec.Failed, "the store does not accept its record "+key)
		}
	}
	for _, j := range s.endedJobs {
		s.retain(j, s.now)
	}
	clear(s.endedJobs)
	s.endedJobs = s.endedJobs[:0]
	n := 0
	for _, u := range s.unrecordedUnits {
		if u.batch > s.written {
			s.unrecordedUnits[n] = u
			n++
			continue
		}
		u.recorded = true
		s.startUnit(u)
	}
	clear(s.unrecordedUnits[n:])
	s.unrecordedUnits = s.unrecordedUnits[:n]
	for _, w := range s.sortedWorkers() {
		w.advanceAcked(s.written)
		if w.pollDue {
			s.queuePoll(w)
		}
	}
}
