package dispatch

import (
	"slices"

	"github.com/limpetrelay/limpetrelay/internal/depot/logbook"
	"github.com/limpetrelay/limpetrelay/ledger"
	"github.com/limpetrelay/limpetrelay/rack"
	"github.com/limpetrelay/limpetrelay/record"
	"github.com/limpetrelay/limpetrelay/upstream"
)

const (
	// ejectAfter is the number of distinct jobs in a row that fail on a worker
	// before it is ejected.
	ejectAfterJobs = 3
	// maxCooloff is the number of times that the cool-off doubles.
	maxEjectionDoublings = 4
)

// fleet is this host's own view of the workers and hosts of its data centre.
type clusterView struct {
	// views is keyed by worker.
	views map[string]*workerView
	// hosts is the platform's list, keyed by name. It lags.
	hosts map[string]logbook.Host
	// listed is set once a list has been seen.
	listed bool
}

// workerView is what this host knows of a worker.
type workerView struct {
	// report is the last report. Its Tasks are not kept up.
	report upstream.Report
	// complete is set once tasks holds everything that the worker knows.
	tasksComplete bool
	// tasks is keyed by task. Ended small tasks are left out.
	tasks map[string]upstream.TaskReport
	// heard is the time at which the last answered heartbeat was sent.
	heardAt int64
	// answered is when the last answer to any call arrived.
	answeredAt int64
	// doubtedAt is when the worker had left a call without an answer for too
	// long; 0 for never. The doubt ends with the next answer.
	suspectedAt int64
	// refusedAt is when the worker last refused a reservation; 0 once a later
	// report has shown why, or that the reason is gone.
	refusedAt int64
	// first is when the worker was first seen or tried.
	firstSeenAt int64
	// sentAt is when the last heartbeat was sent, and inFlight whether it is
	// unanswered.
	heartbeatSentAt   int64
	heartbeatInFlight bool
	// failed is set when the last heartbeat was not answered.
	heartbeatFailed bool
	// recorded is set while a record about the worker is on its way.
	recordPending bool
	// ejections counts them, and ejectedUntil is the end of the last one.
	// ejectedFor is the number of failures at that time.
	ejections          int
	ejectedUntil       int64
	failuresAtEjection int
	// forget lists ended tasks whose end is in the log.
	toForget []string
	// small is the view of the small path.
	small smallWorkerView
}

// onHosts takes the platform's list.
func (s *State) onHosts(e *HostList) {
	if e.Err != nil {
		return
	}
	s.hosts = map[string]logbook.Host{}
	for _, h := range e.Hosts {
		if h.DataCentre == s.DataCentre {
			s.hosts[h.Name] = h
		}
	}
	s.listed = true
}

// view returns the view of a worker.
func (s *State) view(name string) *workerView {
	v := s.views[name]
	if v == nil {
		v = &workerView{tasks: map[string]upstream.TaskReport{}, firstSeenAt: s.now, heardAt: -1}
		s.views[name] = v
	}
	return v
}

// WorkerAddress returns where a worker listens, or nothing when it is not known.
func (s *State) WorkerAddress(name string) string { return s.address(name) }

// address returns where a worker listens, from the list or else the log.
func (s *State) address(name string) string {
	if h, ok := s.hosts[name]; ok && h.Kind == logbook.KindWorker {
		return h.Address
	}
	if w := s.Ledger.Workers[name]; w != nil {
		return w.Address
	}
	return ""
}

// workerNames returns the workers of the data centre in the list or the log.
func (s *State) workerNames() []string {
	names := slices.Clone(s.Ledger.WorkerNames(s.DataCentre))
	for _, n := range sortedKeys(s.hosts) {
		if s.hosts[n].Kind == logbook.KindWorker {
			names = append(names, n)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// beat sends the heartbeats that are due.
func (s *State) sendHeartbeats() {
	for _, n := range s.workerNames() {
		v := s.view(n)
		if v.heartbeatInFlight || v.heartbeatSentAt != 0 && s.now-v.heartbeatSentAt < s.heartbeatGap(v) {
			continue
		}
		v.heartbeatInFlight, v.heartbeatSentAt = true, s.now
		h := upstream.Heartbeat{Term: s.term(), Seen: v.report.Revision, Renew: s.tasksToRenew(n), Forget: v.toForget}
		if v.tasksComplete {
			// The first report after a take-over is wanted at once.
			h.Wait = s.HeartbeatInterval
		}
		v.toForget = nil
		s.emit(Effect{Heartbeat: &HeartbeatCall{Worker: n, Address: s.address(n), Heartbeat: h}})
	}
}

// leastGap is the least time between two heartbeats to a worker, in
// milliseconds.
const minHeartbeatGap = 50

// beatGap returns the least time between two heartbeats to a worker. The
// worker holds its answer until there is news, so that ends are heard of at
// once; a worker that fails to answer is not asked again at once.
func (s *State) heartbeatGap(v *workerView) int64 {
	if v.heartbeatFailed {
		return s.HeartbeatInterval
	}
	return minHeartbeatGap
}

// onHeartbeat takes a worker's report.
func (s *State) onHeartbeat(e *HeartbeatResult) {
	v := s.view(e.Worker)
	v.heartbeatInFlight, v.heartbeatFailed = false, e.Err != nil
	if e.Err == nil {
		v.answeredAt = s.now
	} else {
		v.toForget = append(v.toForget, e.Forgotten...)
	}
	if !s.leading {
		return
	}
	if e.Err == nil {
		s.onReport(v, e)
	}
	s.recordWorker(e.Worker, v)
	s.applyReport(e.Worker)
}

// onReport merges a report into the view.
func (s *State) onReport(v *workerView, e *HeartbeatResult) {
	r := e.Report
	v.tasksComplete = true
	if v.report.Incarnation != r.Incarnation {
		v.tasks = map[string]upstream.TaskReport{}
		if v.report.Revision != 0 {
			// The report left out tasks by the old incarnation's revision.
			r.Revision, v.tasksComplete = 0, false
		}
	}
	v.heardAt = max(v.heardAt, e.SentAt)
	for _, t := range r.Tasks {
		if t.Small && t.State == upstream.Ended {
			delete(v.tasks, t.Task)
			continue
		}
		v.tasks[t.Task] = t
	}
	r.Tasks = nil
	v.report = r
	s.forgetRecordedTasks(v)
	for _, t := range e.Renewed {
		s.recordRenewal(e.Worker, t, e.SentAt)
	}
}

// doubtful reports whether the worker owes an answer. Nothing new is placed on
// it, although its lease may still hold.
func (v *workerView) suspected() bool { return v.suspectedAt != 0 && v.answeredAt <= v.suspectedAt }

// owes reports whether a worker that was called at the given time has been
// silent since, for longer than the patience with a call, and doubts it then.
func (s *State) unresponsive(worker string, calledAt int64) bool {
	v := s.view(worker)
	if v.suspected() {
		return true
	}
	if v.answeredAt > calledAt || s.now-calledAt <= callTimeout {
		return false
	}
	v.suspectedAt = s.now
	return true
}

// forgetRecorded lets a worker forget the ended tasks about which the log has
// all that followed. A caretaker's copy of the log may be behind, so it lets
// nothing be forgotten.
func (s *State) forgetRecordedTasks(v *workerView) {
	if s.interim {
		return
	}
	for _, id := range sortedKeys(v.tasks) {
		if v.tasks[id].State == upstream.Ended && s.endRecorded(id) {
			delete(v.tasks, id)
			v.toForget = append(v.toForget, id)
		}
	}
}

// recorded reports whether the log has what followed the end of a task.
func (s *State) endRecorded(task string) bool {
	id, attempt, ok := parseTask(task)
	if !ok {
		return false
	}
	j := s.Ledger.Jobs[id]
	return j == nil || j.State == ledger.Finished || j.Attempt > attempt || j.State == ledger.Queued && j.Attempt == attempt
}

// silent returns how long a worker has not answered, in milliseconds.
func (v *workerView) silence(now int64) int64 {
	return now - max(v.heardAt, v.firstSeenAt)
}

// recordWorker writes a record when the log's view of a worker is wrong.
func (s *State) recordWorker(name string, v *workerView) {
	if v.recordPending || s.interim {
		return
	}
	want, ok := s.desiredWorker(name, v)
	if !ok {
		return
	}
	if w := s.Ledger.Workers[name]; w != nil {
		was := w.Worker
		was.Term = want.Term
		if was == want {
			return
		}
	}
	v.recordPending = true
	s.enqueueRecord(record.Record{Worker: &want})
}

// wantWorker returns what the log should say of a worker. It returns false
// when nothing is known.
func (s *State) desiredWorker(name string, v *workerView) (record.Worker, bool) {
	known := s.Ledger.Workers[name]
	var w record.Worker
	switch {
	case v.heardAt >= 0:
		w = record.Worker{
			Name: name, DataCentre: s.DataCentre, Rack: v.report.Rack, Slots: v.report.Slots,
			Accelerated: v.report.Accelerated, Incarnation: v.report.Incarnation,
		}
	case known != nil:
		w = known.Worker
	default:
		return w, false
	}
	w.Address, w.Term, w.State = s.address(name), s.term(), record.Live
	h, listed := s.hosts[name]
	switch {
	case v.silence(s.now) > s.GoneAfter:
		w.State = record.Gone
	case v.heardAt < 0:
		w.State = known.State
	case v.report.Leaving || listed && h.Leaving:
		w.State = record.Leaving
	case s.ejected(v, known != nil && known.Incarnation == w.Incarnation, name):
		w.State = record.Ejected
	}
	return w, true
}

// ejected reports whether a worker is out for failing what it starts. After a
// cool-off, which doubles each time, it comes back on trial: its failures stay
// counted until a job succeeds there.
func (s *State) ejected(v *workerView, same bool, name string) bool {
	if s.now < v.ejectedUntil {
		return true
	}
	if !same {
		return false
	}
	w := s.Ledger.Workers[name]
	if w.Failures == 0 {
		v.ejections, v.failuresAtEjection = 0, 0
	}
	if len(w.FailedJobs) < ejectAfterJobs || w.Failures <= v.failuresAtEjection {
		return false
	}
	v.failuresAtEjection = w.Failures
	v.ejectedUntil = s.now + s.BaseEjectionTime<<min(v.ejections, maxEjectionDoublings)
	v.ejections++
	return true
}

// onTrial reports whether a live worker has failures that no success has
// cleared since its ejection.
func (s *State) onProbation(name string) bool {
	w := s.Ledger.Workers[name]
	return w != nil && len(w.FailedJobs) >= ejectAfterJobs
}

// onWorkerRecord notes that a record about a worker has arrived.
func (s *State) onWorkerRecord(w *record.Worker) {
	if v := s.views[w.Name]; v != nil {
		v.recordPending = false
	}
}

// usable returns the free slots of a worker for new places: live in the log,
// heard of lately, and not held by a placed job or a small request.
func (s *State) usableSlots(name string) rack.Mask {
	w := s.Ledger.Workers[name]
	if w == nil || w.State != record.Live {
		return 0
	}
	v := s.view(name)
	if v.heardAt < 0 || v.silence(s.now) > 3*s.HeartbeatInterval || v.suspected() ||
		s.now < v.ejectedUntil || v.refusedAt > v.heardAt || v.report.Leaving || v.report.Incarnation != w.Incarnation {
		return 0
	}
	if h, ok := s.hosts[name]; ok && h.Leaving {
		return 0
	}
	return rack.FullMask(w.Slots)
}

// foreignMask returns the slots that a worker which refused a reservation holds
// for something that the log does not know, such as a small request of another
// host. Without it the same place would be chosen and refused again at once.
func (v *workerView) unaccountedMask(taken rack.Mask) rack.Mask {
	if v.refusedAt == 0 || v.refusedAt > v.heardAt {
		return 0
	}
	m := rack.FullMask(v.report.Slots) &^ v.report.Free &^ taken
	if m == 0 {
		v.refusedAt = 0
	}
	return m
}

// smallMask returns the slots of a worker that small requests hold.
func (v *workerView) smallMask() rack.Mask {
	var m rack.Mask
	for _, t := range v.tasks {
		if t.Small && t.State != upstream.Ended {
			m |= t.Mask
		}
	}
	return m
}

// Fragmentation returns, per cell level, the share of free slots in the data
// centre that cells of that level cannot use.
func (s *State) Fragmentation() map[string]float64 {
	var f rack.Forest
	plan := s.Ledger.Plan(s.DataCentre)
	for _, n := range s.Ledger.WorkerNames(s.DataCentre) {
		if w := s.Ledger.Workers[n]; w.Accelerated && w.State == record.Live {
			f.Add(rack.Node{Name: n, Rack: w.Rack, Slots: w.Slots, Used: plan.Taken(n)})
		}
	}
	free := f.Free()
	m := map[string]float64{}
	for l := rack.LevelSlot; l < rack.NumLevels; l++ {
		m[l.String()] = free.Fragmentation(l)
	}
	return m
}
