package dispatch

import (
	"slices"

	"github.com/limpetrelay/limpetrelay/fault"
	"github.com/limpetrelay/limpetrelay/internal/storage/logservice"
	"github.com/limpetrelay/limpetrelay/ledger"
	"github.com/limpetrelay/limpetrelay/rack"
	"github.com/limpetrelay/limpetrelay/record"
	"github.com/limpetrelay/limpetrelay/upstream"
)

const (
	// ejectAfterJobs is the number of distinct jobs that must fail on a worker
	// in a row before it is ejected.
	ejectAfterJobs = 3
	// maxEjectionDoublings is the number of times that the ejection time
	// doubles.
	maxEjectionDoublings = 4
)

// clusterView is this host's own view of the workers and hosts of its data
// centre.
type clusterView struct {
	// views is keyed by worker.
	views map[string]*workerView
	// hosts is the platform's list, keyed by name. It may be out of date.
	hosts map[string]logservice.Host
	// listed is set once the platform's list has been received.
	listed bool
}

// workerView is this host's own view of a worker.
type workerView struct {
	// report is the last report, without its Tasks.
	report upstream.Report
	// tasksComplete is set once tasks contains all tasks that the worker
	// remembers.
	tasksComplete bool
	// tasks is keyed by task name. It leaves out the ended tasks of small
	// requests.
	tasks map[string]upstream.TaskReport
	// heardAt is when the last answered heartbeat was sent; -1 for none.
	heardAt int64
	// answeredAt is when the last answer to any call arrived.
	answeredAt int64
	// suspectedAt is when this host found that a call to the worker had been
	// unanswered for longer than callTimeout; 0 for never. The suspicion ends
	// with the next answer.
	suspectedAt int64
	// refusedAt is when the worker last refused a reservation. It returns to 0
	// once a later report shows that no task unknown to the log holds the
	// worker's slots.
	refusedAt int64
	// firstSeenAt is when this host created the view; a takeover creates it
	// anew.
	firstSeenAt int64
	// heartbeatSentAt is when the last heartbeat was sent, and
	// heartbeatInFlight is set while it is unanswered.
	heartbeatSentAt   int64
	heartbeatInFlight bool
	// renewalInFlight is set while a heartbeat that renews leases is unanswered.
	renewalInFlight bool
	// heartbeatFailed is set when the last heartbeat got no answer.
	heartbeatFailed bool
	// recordPending is set while a record about the worker has no verdict.
	recordPending bool
	// ejections counts the ejections, and ejectedUntil is the end of the last
	// one. failuresAtEjection is the worker's number of failures at that
	// ejection.
	ejections          int
	ejectedUntil       int64
	failuresAtEjection int
	// toForget lists ended tasks that the worker may forget, since the log has
	// their end.
	toForget []string
	// small serves to choose workers for small requests.
	small smallWorkerView
}

// onHosts processes the platform's list of hosts.
func (s *State) onHosts(e *HostList) {
	if e.Err != nil {
		return
	}
	s.hosts = map[string]logservice.Host{}
	for _, h := range e.Hosts {
		if h.DataCentre == s.DataCentre {
			s.hosts[h.Name] = h
		}
	}
	s.listed = true
}

// view returns the view of a worker and creates it when there is none.
func (s *State) view(name string) *workerView {
	v := s.views[name]
	if v == nil {
		v = &workerView{tasks: map[string]upstream.TaskReport{}, firstSeenAt: s.now, heardAt: -1}
		s.views[name] = v
	}
	return v
}

// WorkerAddress returns the address of a worker, or an empty string when it is
// unknown.
func (s *State) WorkerAddress(name string) string { return s.address(name) }

// address returns the address of a worker from the platform's list, or else
// from the log.
func (s *State) address(name string) string {
	if h, ok := s.hosts[name]; ok && h.Kind == logservice.KindWorker {
		return h.Address
	}
	if w := s.Ledger.Workers[name]; w != nil {
		return w.Address
	}
	return ""
}

// workerNames returns the workers of the data centre that the log or the
// platform's list contains, in order.
func (s *State) workerNames() []string {
	names := slices.Clone(s.Ledger.WorkerNames(s.DataCentre))
	for _, n := range sortedKeys(s.hosts) {
		if s.hosts[n].Kind == logservice.KindWorker {
			names = append(names, n)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// sendHeartbeats sends the heartbeats that are due.
func (s *State) sendHeartbeats() {
	for _, n := range s.workerNames() {
		v := s.view(n)
		if v.heartbeatInFlight || v.heartbeatSentAt != 0 && s.now-v.heartbeatSentAt < s.heartbeatGap(v) {
			continue
		}
		v.heartbeatInFlight, v.heartbeatSentAt = true, s.now
		h := upstream.Heartbeat{Term: s.term(), SinceRevision: v.report.Revision, Forget: v.toForget}
		if !v.heartbeatFailed {
			// Each renewal may reach a worker whose answers are lost. Its leases would
			// never expire if they were still renewed.
			h.Renew = s.tasksToRenew(n)
		}
		v.renewalInFlight = len(h.Renew) > 0
		if v.tasksComplete {
			// The first report after a takeover is needed at once, so the worker
			// must not hold its answer.
			h.Wait = s.HeartbeatInterval
		}
		v.toForget = nil
		s.emit(Effect{Heartbeat: &HeartbeatCall{Worker: n, Address: s.address(n), Heartbeat: h}})
	}
}

// minHeartbeatGap is the minimum time between two heartbeats to a worker that
// answers them, in milliseconds.
const minHeartbeatGap = 50

// heartbeatGap returns the minimum time between two heartbeats to a worker, in
// milliseconds. A worker holds its answer until there is news, so the next
// heartbeat may follow almost immediately and ends of tasks are reported at
// once. After a failed heartbeat the gap is longer.
func (s *State) heartbeatGap(v *workerView) int64 {
	if v.heartbeatFailed {
		return s.HeartbeatInterval
	}
	return minHeartbeatGap
}

// onHeartbeat processes the result of a heartbeat.
func (s *State) onHeartbeat(e *HeartbeatResult) {
	v := s.view(e.Worker)
	if e.SentAt < v.firstSeenAt {
		// It was sent before this host lost the role and took it over again, perhaps to an
		// earlier incarnation.
		s.noteRenewals(e.Worker, e.Renewed, s.now)
		return
	}
	if e.Err == nil && e.Report.Worker != e.Worker {
		// The worker has moved, and may still run its tasks.
		e.Err = fault.Newf(fault.Unavailable, "wait for the list of hosts", "worker %s answers at the address of %s", e.Report.Worker, e.Worker)
	}
	v.heartbeatInFlight, v.renewalInFlight, v.heartbeatFailed = false, false, e.Err != nil
	if e.Err == nil {
		v.answeredAt = s.now
	} else {
		v.toForget = append(v.toForget, e.Forgotten...)
	}
	if !fault.NothingDone(e.Err) {
		// The worker may have received the heartbeat at any time until now.
		s.noteRenewals(e.Worker, e.Renewed, s.now)
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

// onReport merges a worker's report into its view.
func (s *State) onReport(v *workerView, e *HeartbeatResult) {
	r := e.Report
	v.tasksComplete = true
	if v.report.Incarnation != r.Incarnation {
		v.tasks = map[string]upstream.TaskReport{}
		if v.report.Revision != 0 {
			// The report omits tasks by the revision of the old incarnation.
			// Revision 0 makes the next heartbeat request all tasks.
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
}

// suspected reports whether the worker has left a call unanswered. Nothing new
// is placed on a suspected worker, although its lease may still be valid.
func (v *workerView) suspected() bool { return v.suspectedAt != 0 && v.answeredAt <= v.suspectedAt }

// unresponsive reports whether a worker that was called at the given time has
// not answered any call since, for longer than callTimeout. It marks the worker
// as suspected then.
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

// forgetRecordedTasks lets a worker forget, with the next heartbeat, the ended
// tasks whose consequences are recorded in the log. An interim placer's copy of
// the log may be behind, so it lets the worker forget none.
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

// endRecorded reports whether the log contains the record that followed the end
// of a task.
func (s *State) endRecorded(task string) bool {
	id, attempt, ok := parseTask(task)
	if !ok {
		return false
	}
	j := s.Ledger.Jobs[id]
	return j == nil || j.State == ledger.Finished || j.Attempt > attempt || j.State == ledger.Queued && j.Attempt == attempt
}

// silence returns the time since the last answered heartbeat was sent, or since
// the view was created when that was later, in milliseconds.
func (v *workerView) silence(now int64) int64 {
	return now - max(v.heardAt, v.firstSeenAt)
}

// recordWorker records the state of a worker when it differs from the log's.
func (s *State) recordWorker(name string, v *workerView) {
	if v.recordPending || s.interim {
		return
	}
	desired, ok := s.desiredWorker(name, v)
	if !ok {
		return
	}
	if w := s.Ledger.Workers[name]; w != nil {
		current := w.Worker
		current.Term = desired.Term
		if current == desired {
			return
		}
	}
	v.recordPending = true
	s.enqueueRecord(record.Record{Worker: &desired})
}

// desiredWorker returns the state that the log should have of a worker, or
// false when neither the worker nor the log has reported anything about it.
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

// ejected reports whether a worker is ejected because jobs keep failing on it,
// and starts the ejection when it is due. The ejection time doubles with each
// ejection. The worker then returns on probation: its failures remain counted
// until a job succeeds there.
func (s *State) ejected(v *workerView, sameIncarnation bool, name string) bool {
	if s.now < v.ejectedUntil {
		return true
	}
	if !sameIncarnation {
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

// onProbation reports whether no job has succeeded on a worker since enough
// failed there to eject it.
func (s *State) onProbation(name string) bool {
	w := s.Ledger.Workers[name]
	return w != nil && len(w.FailedJobs) >= ejectAfterJobs
}

// onWorkerRecord processes the verdict on a record about a worker.
func (s *State) onWorkerRecord(w *record.Worker) {
	if v := s.views[w.Name]; v != nil {
		v.recordPending = false
	}
}

// usableSlots returns all slots of a worker, or none when nothing may be placed
// on it. A usable worker is live in the log with its current incarnation, has
// answered a heartbeat within the last three intervals, has refused no
// reservation since, and is neither suspected, ejected nor leaving.
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

// unaccountedMask returns the slots that a worker which refused a reservation
// holds for tasks unknown to the log, such as a small request of another host.
// If they counted as free, the same cells would be chosen and refused again at
// once.
func (v *workerView) unaccountedMask(allocated rack.Mask) rack.Mask {
	if v.refusedAt == 0 || v.refusedAt > v.heardAt {
		return 0
	}
	m := rack.FullMask(v.report.Slots) &^ v.report.Free &^ allocated
	if m == 0 {
		v.refusedAt = 0
	}
	return m
}

// smallMask returns the slots of a worker that small requests use.
func (v *workerView) smallMask() rack.Mask {
	var m rack.Mask
	for _, t := range v.tasks {
		if t.Small && t.State != upstream.Ended {
			m |= t.Mask
		}
	}
	return m
}

// Fragmentation returns, for each cell level, the share of the free slots that
// cannot be allocated as cells of that level. It covers the live accelerated
// workers of the data centre.
func (s *State) Fragmentation() map[string]float64 {
	var f rack.Forest
	plan := s.Ledger.Plan(s.DataCentre)
	for _, n := range s.Ledger.WorkerNames(s.DataCentre) {
		if w := s.Ledger.Workers[n]; w.Accelerated && w.State == record.Live {
			f.Add(rack.Node{Name: n, Rack: w.Rack, Slots: w.Slots, Used: plan.AllocatedSlots(n)})
		}
	}
	free := f.Free()
	m := map[string]float64{}
	for l := rack.LevelSlot; l < rack.NumLevels; l++ {
		m[l.String()] = free.Fragmentation(l)
	}
	return m
}
