package dispatch

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/limpetrelay/limpetrelay/admission"
	"github.com/limpetrelay/limpetrelay/fault"
	"github.com/limpetrelay/limpetrelay/job"
	"github.com/limpetrelay/limpetrelay/ledger"
	"github.com/limpetrelay/limpetrelay/rack"
	"github.com/limpetrelay/limpetrelay/upstream"
)

const (
	// maxSmalls bounds the small requests of a host.
	maxSmalls = 4096
	// smallWait is how long one call follows a small task, in milliseconds. A
	// connection that stays silent longer is closed and the task's fate is
	// asked for on a new one.
	smallWait = 2000
	// mostAvoided is the number of times that avoidFor doubles.
	mostAvoided = 7
	// smallFailures is the number of workers on which a small request may fail.
	smallFailures = 2
	// avoidFor is how long a worker on which a task failed is avoided at first,
	// in milliseconds.
	avoidFor = 500
	// avoidLeaving is how long a worker that could not be reached is avoided, in
	// milliseconds.
	avoidLeaving = 3000
	// waitStep is the time between two looks for workers for the requests that
	// wait, in milliseconds.
	waitStep = 20
	// maxRecordedSmalls is the number of callers waiting for the log's verdict
	// from which on no small request is recorded.
	maxRecordedSmalls = 32
	// viewFresh is how long a worker's number of free slots is trusted, in
	// milliseconds.
	viewFresh = 1000
)

// smalls is the state of the small path: single repeatable requests that go
// straight to a worker, without the log and without the placer.
type smalls struct {
	// tasks is keyed by request.
	tasks      map[string]*small
	smallCount uint64
	// lines holds the requests that found no worker. Refusals go by its Target.
	lines admission.Queue
	// turnAt is when the lines are looked at again.
	turnAt int64
}

// small is one small request.
type small struct {
	Submit
	// id names the request, and task its current try.
	id, task string
	need     rack.Need
	tries    int
	// began is when the request arrived.
	began    int64
	deadline int64
	// failedOn lists the workers on which it failed by itself.
	failedOn []string
	// worker is empty while the request waits for one.
	worker      string
	incarnation string
	// heard is when the last answered call was sent.
	heard int64
	// waited is set once the request has waited for a worker.
	waited bool
	// started is set once the worker has said that the task ran.
	started bool
	// ran is set once any try may have run, so that "not run" is never said.
	ran bool
	// unsure is set while a call's answer is lost.
	unsure bool
	// askAt is when to ask again after an error.
	askAt int64
}

// startSmall takes a small request.
func (s *State) startSmall(e *Submit) {
	if len(s.tasks) >= maxSmalls {
		s.refuse(e.Waiter, fault.New(fault.Overloaded, "nothing was done: too many small requests are open", "submit it again later"))
		return
	}
	need, err := e.Spec.Need()
	if err != nil {
		s.refuse(e.Waiter, err)
		return
	}
	if !s.lines.Admit(e.Spec.Organisation, s.now) {
		s.observe(e.Spec.Organisation, e.Spec.Class, "smallRefused", 1)
		s.refuse(e.Waiter, fault.New(fault.Overloaded, "nothing was done: earlier requests of the organisation still wait for a slot",
			"submit it again later, at a lower rate"))
		return
	}
	s.budget.Deposit()
	s.smallCount++
	m := &small{
		Submit: *e, id: fmt.Sprintf("s-%s-%d", s.Incarnation, s.smallCount),
		need: need, began: s.now, deadline: s.now + e.Wait,
	}
	s.tasks[m.id] = m
	s.tryWorker(m)
}

// tryWorker sends the request to a worker, or lets it wait for one.
func (s *State) tryWorker(m *small) {
	m.worker, m.unsure, m.started = "", false, false
	// Nobody overtakes the requests that already wait.
	if w := s.chooseWorker(m); w != nil && (m.waited || s.lines.Len() == 0) {
		s.sendSmall(m, w)
		return
	}
	s.letWait(m)
}

// sendSmall sends the request to a worker. Each try has a task name of its own.
func (s *State) sendSmall(m *small, w *ledger.Worker) {
	m.tries++
	m.task = m.id + "/" + strconv.Itoa(m.tries)
	m.worker, m.incarnation, m.heard = w.Name, w.Incarnation, s.now
	v := s.view(w.Name)
	v.small.inFlight++
	v.small.sent += m.need.Level.Slots()
	s.observe(m.Spec.Organisation, m.Spec.Class, "smallTries", 1)
	s.emit(Effect{Small: &SmallCall{Worker: w.Name, Address: s.address(w.Name), Run: &upstream.Run{
		Wait: smallWait,
		Order: upstream.Order{
			Task: m.task, Organisation: m.Spec.Organisation, Class: m.Spec.Class, Level: m.need.Level,
			Accelerated: m.Spec.Accelerators > 0, Incarnation: w.Incarnation, Lease: s.SmallLease,
			Payload: m.Spec.Payload,
		},
	}}})
}

// onSmall takes the result of a call.
func (s *State) onSmall(e *SmallResult) {
	v := &s.view(e.Worker).small
	m := s.smallOf(e.Task)
	if e.Err == nil || fault.KindOf(e.Err) == fault.Refused {
		v.free, v.at, v.sent = e.Report.FreeSlots, s.now, 0
	}
	if m == nil || m.task != e.Task || m.worker == "" {
		return
	}
	if e.Err != nil {
		s.onSmallError(m, v, e)
		return
	}
	m.unsure, m.heard = false, max(m.heard, e.SentAt)
	m.ran = m.ran || e.Report.Outcome != upstream.NeverStarted
	if e.Report.State != upstream.Ended {
		m.started = true
		s.await(m)
		return
	}
	v.inFlight--
	s.onSmallEnd(m, v, &e.Report)
}

// smallOf returns the request of a task, or nil.
func (s *State) smallOf(task string) *small {
	id, _, _ := strings.Cut(task, "/")
	return s.tasks[id]
}

// onSmallError tells a refusal, after which the task never runs, from a lost
// answer, after which its fate has to be asked for.
func (s *State) onSmallError(m *small, v *smallView, e *SmallResult) {
	first := !m.started && !m.unsure
	if first && fault.NothingDone(e.Err) {
		v.inFlight--
		v.avoidUntil = s.now + waitStep
		if fault.KindOf(e.Err) == fault.Unavailable {
			v.avoidUntil = s.now + avoidLeaving
		}
		s.retrySmall(m)
		return
	}
	m.unsure = true
	v.avoidUntil = s.now + avoidLeaving
	if s.now-m.heard > s.SmallLease+leaseMargin || fault.KindOf(e.Err) == fault.Refused {
		// The lease has lapsed, or the worker has restarted: the task is over.
		m.ran = true
		v.inFlight--
		s.retrySmall(m)
		return
	}
	m.askAt = s.now + callAgain
}

// onSmallEnd takes a final report.
func (s *State) onSmallEnd(m *small, v *smallView, r *upstream.RunReport) {
	switch r.Outcome {
	case upstream.Completed:
		v.failures = 0
		o := job.Outcome{Result: job.Completed, Answers: []job.Answer{{Task: r.Task, Worker: m.worker, Size: r.Size, Sum: r.Sum}}}
		s.observe(m.Spec.Organisation, m.Spec.Class, "queueTime", max(0, s.now-m.began-r.RunTime))
		s.observe(m.Spec.Organisation, m.Spec.Class, "runTime", r.RunTime)
		s.endSmall(m, Reply{Outcome: &o, Output: r.Output})
	case upstream.Failed:
		v.failures++
		v.avoidUntil = s.now + avoidFor<<min(v.failures, mostAvoided)
		m.failedOn = append(m.failedOn, m.worker)
		if len(m.failedOn) < smallFailures && s.budget.Withdraw() {
			s.tryWorker(m)
			return
		}
		s.exonerate(m)
		o := job.NewOutcome(job.Failed, fault.Refused, "the task failed: "+r.Message, "correct the job and submit it again")
		s.endSmall(m, Reply{Outcome: &o})
	default:
		s.retrySmall(m)
	}
}

// exonerate clears the workers of a request that failed on all that it tried,
// since it is at fault itself.
func (s *State) exonerate(m *small) {
	if len(m.failedOn) < smallFailures {
		return
	}
	for _, n := range m.failedOn {
		v := &s.view(n).small
		v.failures, v.avoidUntil = max(0, v.failures-1), 0
	}
}

// retrySmall tries another worker when the retry budget allows it, and lets
// the request wait otherwise.
func (s *State) retrySmall(m *small) {
	if s.budget.Withdraw() {
		s.tryWorker(m)
		return
	}
	m.worker, m.unsure, m.started = "", false, false
	s.letWait(m)
}

// await follows a running task and renews its lease.
func (s *State) await(m *small) {
	m.askAt = 0
	s.emit(Effect{Small: &SmallCall{Worker: m.worker, Address: s.address(m.worker), Await: &upstream.Await{
		Task: m.task, Wait: smallWait, Fence: m.unsure, Incarnation: m.incarnation,
	}}})
}

// endSmall answers a small request and forgets it.
func (s *State) endSmall(m *small, r Reply) {
	delete(s.tasks, m.id)
	r.Waiter, r.State = m.Waiter, ledger.Finished
	s.observe(m.Spec.Organisation, m.Spec.Class, "completionTime", s.now-m.began)
	s.observe(m.Spec.Organisation, m.Spec.Class, string(r.Outcome.Result), 1)
	s.reply(r)
}

// expireSmalls retries the waiting requests, records those that waited long,
// asks for lost tasks and ends the requests whose caller's time is over.
func (s *State) expireSmalls() {
	s.turnSmalls()
	for _, id := range sortedKeys(s.tasks) {
		m := s.tasks[id]
		switch {
		case s.now >= m.deadline:
			s.lateSmall(m)
		case m.worker != "" && m.askAt != 0 && s.now >= m.askAt:
			s.await(m)
		}
	}
}

// lateSmall ends a request whose caller's time is over. What is said depends
// on what the worker has said of the task.
func (s *State) lateSmall(m *small) {
	var o job.Outcome
	switch {
	case m.worker == "" && m.ran:
		o = job.NewOutcome(job.Failed, fault.Overloaded, "the task was stopped before its end and found no room again in time",
			"submit it again later")
	case m.worker == "":
		o = job.NewOutcome(job.NotRun, fault.Overloaded, "no worker had room in time", "submit it again later")
	case m.started && !m.unsure:
		o = job.NewOutcome(job.Failed, fault.Refused, "the task ran longer than the caller waited and was stopped",
			"declare a longer run time and wait longer")
	default:
		o = job.NewOutcome(job.Unknown, fault.Unknown, "the worker's answer was lost", "submit it again, it is repeatable")
	}
	s.stopSmall(m)
	s.endSmall(m, Reply{Outcome: &o})
}

// stopSmall stops the task of a small request, if any worker may have it.
func (s *State) stopSmall(m *small) {
	if m.worker == "" {
		return
	}
	s.view(m.worker).small.inFlight--
	s.emit(Effect{Small: &SmallCall{Worker: m.worker, Address: s.address(m.worker), Stop: &upstream.Stop{
		Task: m.task, Incarnation: m.incarnation,
	}}})
}

// abandonSmall drops the small request of a caller that went away.
func (s *State) abandonSmall(waiter string) {
	for _, id := range sortedKeys(s.tasks) {
		if m := s.tasks[id]; m.Waiter == waiter {
			s.stopSmall(m)
			delete(s.tasks, id)
			return
		}
	}
}
