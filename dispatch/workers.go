package dispatch

import (
	"slices"

	"github.com/limpetrelay/limpetrelay/internal/storage/logservice"
	"github.com/limpetrelay/limpetrelay/ledger"
	"github.com/limpetrelay/limpetrelay/rack"
	"github.com/limpetrelay/limpetrelay/record"
	"github.com/limpetrelay/limpetrelay/upstream"
)

const (
	// ejectAfter is the number of distinct jobs in a row that fail on a worker
	// before it is ejected.
	ejectAfter = 3
	// maxCooloff is the number of times that the cool-off doubles.
	maxCooloff = 4
)

// fleet is this host's own view of the workers and hosts of its data centre.
type fleet struct {
	// views is keyed by worker.
	views map[string]*workerView
	// hosts is the platform's list, keyed by name. It lags.
	hosts map[string]logservice.Host
	// listed is set once a list has been seen.
	listed bool
}

// workerView is what this host knows of a worker.
type workerView struct {
	// report is the last report. Its Tasks are not kept up.
	report upstream.Report
	// complete is set once tasks holds everything that the worker knows.
	complete bool
	// tasks is keyed by task. Ended small tasks are left out.
	tasks map[string]upstream.TaskReport
	// heard is the time at which the last answered heartbeat was sent.
	heard int64
	// answered is when the last answer to any call arrived.
	answered int64
	// doubtedAt is when the worker had left a call without an answer for too
	// long; 0 for never. The doubt ends with the next answer.
	doubtedAt int64
	// refusedAt is when the worker last refused a reservation; 0 once a later
	// report has shown why, or that the reason is gone.
	refusedAt int64
	// first is when the worker was first seen or tried.
	first int64
	// sentAt is when the last heartbeat was sent, and inFlight whether it is
	// unanswered.
	sentAt   int64
	inFlight bool
	// failed is set when the last heartbeat was not answered.
	failed bool
	// recorded is set while a record about the worker is on its way.
	recorded bool
	// ejections counts them, and ejectedUntil is the end of the last one.
	// ejectedFor is the number of failures at that time.
	ejections    int
	ejectedUntil int64
	ejectedFor   int
	// forget lists ended tasks whose end is in the log.
	forget []string
	// small is the view of the small path.
	small smallView
}

// onHosts takes the platform's list.
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

// view returns the view of a worker.
func (s *State) view(name string) *workerView {
	v := s.views[name]
	if v == nil {
		v = &workerView{tasks: map[string]upstream.TaskReport{}, first: s.now, heard: -1}
		s.views[name] = v
	}
	return v
}

// WorkerAddress returns where a worker listens, or nothing when it is not known.
func (s *State) WorkerAddress(name string) string { return s.address(name) }

// address returns where a worker listens, from the list or else the log.
func (s *State) address(name string) string {
	if h, ok := s.hosts[name]; ok && h.Kind == logservice.KindWorker {
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
		if s.hosts[n].Kind == logservice.KindWorker {
			names = append(names, n)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// beat sends the heartbeats that are due.
func (s *State) beat() {
	for _, n := range s.workerNames() {
		v := s.view(n)
		if v.inFlight || v.sentAt != 0 && s.now-v.sentAt < s.beatGap(v) {
			continue
		}
		v.inFlight, v.sentAt = true, s.now
		h := upstream.Heartbeat{Term: s.term(), SinceRevision: v.report.Revision, Renew: s.renewals(n), Forget: v.forget}
		if v.complete {
			// The first report after a take-over is wanted at once.
			h.Wait = s.HeartbeatInterval
		}
		v.forget = nil
		s.emit(Effect{Heartbeat: &HeartbeatCall{Worker: n, Address: s.address(n), Heartbeat: h}})
	}
}

// leastGap is the least time between two heartbeats to a worker, in
// milliseconds.
const leastGap = 50

// beatGap returns the least time between two heartbeats to a worker. The
// worker holds its answer until there is news, so that ends are heard of at
// once; a worker that fails to answer is not asked again at once.
func (s *State) beatGap(v *workerView) int64 {
	if v.failed {
		return s.HeartbeatInterval
	}
	return leastGap
}

// onHeartbeat takes a worker's report.
func (s *State) onHeartbeat(e *HeartbeatResult) {
	v := s.view(e.Worker)
	v.inFlight, v.failed = false, e.Err != nil
	if e.Err == nil {
		v.answered = s.now
	} else {
		v.forget = append(v.forget, e.Forgotten...)
	}
	if !s.leading {
		return
	}
	if e.Err == nil {
		s.onReport(v, e)
	}
	s.recordWorker(e.Worker, v)
	s.evaluateAll(e.Worker)
}

// onReport merges a report into the view.
func (s *State) onReport(v *workerView, e *HeartbeatResult) {
	r := e.Report
	v.complete = true
	if v.report.Incarnation != r.Incarnation {
		v.tasks = map[string]upstream.TaskReport{}
		if v.report.Revision != 0 {
			// The report left out tasks by the old incarnation's revision.
			r.Revision, v.complete = 0, false
		}
	}
	v.heard = max(v.heard, e.SentAt)
	for _, t := range r.Tasks {
		if t.Small && t.State == upstream.Ended {
			delete(v.tasks, t.Task)
			continue
		}
		v.tasks[t.Task] = t
	}
	r.Tasks = nil
	v.report = r
	s.forgetRecorded(v)
	for _, t := range e.Renewed {
		s.renewed(e.Worker, t, e.SentAt)
	}
}

// doubtful reports whether the worker owes an answer. Nothing new is placed on
// it, although its lease may still hold.
func (v *workerView) doubtful() bool { return v.doubtedAt != 0 && v.answered <= v.doubtedAt }

// owes reports whether a worker that was called at the given time has been
// silent since, for longer than the patience with a call, and doubts it then.
func (s *State) owes(worker string, calledAt int64) bool {
	v := s.view(worker)
	if v.doubtful() {
		return true
	}
	if v.answered > calledAt || s.now-calledAt <= callPatience {
		return false
	}
	v.doubtedAt = s.now
	return true
}

// forgetRecorded lets a worker forget the ended tasks about which the log has
// all that followed. A caretaker's copy of the log may be behind, so it lets
// nothing be forgotten.
func (s *State) forgetRecorded(v *workerView) {
	if s.caretaker {
		return
	}
	for _, id := range sortedKeys(v.tasks) {
		if v.tasks[id].State == upstream.Ended && s.recorded(id) {
			delete(v.tasks, id)
			v.forget = append(v.forget, id)
		}
	}
}

// recorded reports whether the log has what followed the end of a task.
func (s *State) recorded(task string) bool {
	id, attempt, ok := parseTask(task)
	if !ok {
		return false
	}
	j := s.Ledger.Jobs[id]
	return j == nil || j.State == ledger.Finished || j.Attempt > attempt || j.State == ledger.Queued && j.Attempt == attempt
}

// silent returns how long a worker has not answered, in milliseconds.
func (v *workerView) silent(now int64) int64 {
	return now - max(v.heard, v.first)
}

// recordWorker writes a record when the log's view of a worker is wrong.
func (s *State) recordWorker(name string, v *workerView) {
	if v.recorded || s.caretaker {
		return
	}
	want, ok := s.wantWorker(name, v)
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
	v.recorded = true
	s.write(record.Record{Worker: &want})
}

// wantWorker returns what the log should say of a worker. It returns false
// when nothing is known.
func (s *State) wantWorker(name string, v *workerView) (record.Worker, bool) {
	known := s.Ledger.Workers[name]
	var w record.Worker
	switch {
	case v.heard >= 0:
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
	case v.silent(s.now) > s.GoneAfter:
		w.State = record.Gone
	case v.heard < 0:
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
		v.ejections, v.ejectedFor = 0, 0
	}
	if len(w.FailedJobs) < ejectAfter || w.Failures <= v.ejectedFor {
		return false
	}
	v.ejectedFor = w.Failures
	v.ejectedUntil = s.now + s.BaseEjectionTime<<min(v.ejections, maxCooloff)
	v.ejections++
	return true
}

// onTrial reports whether a live worker has failures that no success has
// cleared since its ejection.
func (s *State) onTrial(name string) bool {
	w := s.Ledger.Workers[name]
	return w != nil && len(w.FailedJobs) >= ejectAfter
}

// onWorkerRecord notes that a record about a worker has arrived.
func (s *State) onWorkerRecord(w *record.Worker) {
	if v := s.views[w.Name]; v != nil {
		v.recorded = false
	}
}

// usable returns the free slots of a worker for new places: live in the log,
// heard of lately, and not held by a placed job or a small request.
func (s *State) usable(name string) rack.Mask {
	w := s.Ledger.Workers[name]
	if w == nil || w.State != record.Live {
		return 0
	}
	v := s.view(name)
	if v.heard < 0 || v.silent(s.now) > 3*s.HeartbeatInterval || v.doubtful() ||
		s.now < v.ejectedUntil || v.refusedAt > v.heard || v.report.Leaving || v.report.Incarnation != w.Incarnation {
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
func (v *workerView) foreignMask(taken rack.Mask) rack.Mask {
	if v.refusedAt == 0 || v.refusedAt > v.heard {
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
