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
	// maxSmallRequests is the maximum number of open small requests of a host.
	maxSmallRequests = 4096
	// smallCallWait is how long a worker may hold the answer to one call about
	// a small task, in milliseconds. A connection that stays silent for longer
	// is closed, and the task is polled on a new one.
	smallCallWait = 2000
	// maxAvoidDoublings is the number of times that avoidAfterFailure doubles.
	maxAvoidDoublings = 7
	// maxSmallFailures is the number of workers on which a small request may
	// fail.
	maxSmallFailures = 2
	// avoidAfterFailure is the base of the time for which a worker is avoided
	// after a task has failed on it, in milliseconds. It doubles with each
	// consecutive failure, including the first.
	avoidAfterFailure = 500
	// avoidAfterUnreachable is how long a worker that could not be reached is
	// avoided, in milliseconds.
	avoidAfterUnreachable = 3000
	// smallQueueInterval is the time between two attempts to find workers for
	// the queued requests, in milliseconds.
	smallQueueInterval = 20
	// maxPendingToRecordSmall is the number of callers waiting for a verdict
	// from which on no small request is recorded as a job.
	maxPendingToRecordSmall = 32
	// freeSlotsTTL is how long a worker's reported number of free slots is
	// trusted, in milliseconds.
	freeSlotsTTL = 1000
)

// smallRequests is the state of the small requests: single repeatable requests
// that go straight to a worker, without the log and the placer.
type smallRequests struct {
	// smallByID is keyed by the ID of the request.
	smallByID     map[string]*smallRequest
	smallSequence uint64
	// smallQueue holds the requests that wait for a worker. Its TargetWait
	// decides when new requests are rejected.
	smallQueue admission.Queue
	// nextSmallDispatch is when the queue is processed next.
	nextSmallDispatch int64
}

// smallRequest is one small request.
type smallRequest struct {
	Submit
	// id identifies the request, and task is the task name of its last try.
	id, task string
	need     rack.Need
	tries    int
	// arrivedAt is when the request arrived.
	arrivedAt int64
	deadline  int64
	// failedOn lists the workers on which the task failed, as opposed to being
	// stopped or lost.
	failedOn []string
	// worker is empty while the request waits for a worker.
	worker      string
	incarnation string
	// heardAt is when the last answered call was sent; initially when the task
	// was sent.
	heardAt int64
	// wasQueued is set once the request has been queued.
	wasQueued bool
	// started is set once the worker has reported that the task has been
	// started.
	started bool
	// mayHaveRun is set once any try may have run. The outcome then cannot be
	// job.NotRun.
	mayHaveRun bool
	// answerLost is set when a call got no answer, until a later call gets one.
	answerLost bool
	// nextPoll is when to poll again after an error; 0 for never.
	nextPoll int64
}

// acceptSmall admits a small request or rejects it.
func (s *State) acceptSmall(e *Submit) {
	if len(s.smallByID) >= maxSmallRequests {
		s.replyError(e.Waiter, fault.New(fault.Overloaded, "nothing was done: too many small requests are open", "submit it again later"))
		return
	}
	need, err := e.Spec.Need()
	if err != nil {
		s.replyError(e.Waiter, err)
		return
	}
	if !s.smallQueue.Admit(e.Spec.Organisation, s.now) {
		s.observe(e.Spec.Organisation, e.Spec.Class, "smallRefused", 1)
		s.replyError(e.Waiter, fault.New(fault.Overloaded, "nothing was done: earlier requests of the organisation are still waiting for a slot",
			"submit it again later, at a lower rate"))
		return
	}
	s.budget.Deposit()
	s.smallSequence++
	m := &smallRequest{
		Submit: *e, id: fmt.Sprintf("s-%s-%d", s.Incarnation, s.smallSequence),
		need: need, arrivedAt: s.now, deadline: s.now + e.Wait,
	}
	s.smallByID[m.id] = m
	s.dispatchSmall(m)
}

// dispatchSmall sends the request to a worker, or queues it.
func (s *State) dispatchSmall(m *smallRequest) {
	m.worker, m.answerLost, m.started = "", false, false
	// A new request must not overtake the queued ones.
	if w := s.chooseWorker(m); w != nil && (m.wasQueued || s.smallQueue.Len() == 0) {
		s.sendSmall(m, w)
		return
	}
	s.queueSmall(m)
}

// sendSmall sends the request to a worker. Each try has its own task name.
func (s *State) sendSmall(m *smallRequest, w *ledger.Worker) {
	m.tries++
	m.task = m.id + "/" + strconv.Itoa(m.tries)
	m.worker, m.incarnation, m.heardAt = w.Name, w.Incarnation, s.now
	v := s.view(w.Name)
	v.small.inFlight++
	v.small.requestedSlots += m.need.Level.Slots()
	s.observe(m.Spec.Organisation, m.Spec.Class, "smallTries", 1)
	s.emit(Effect{Small: &SmallCall{Worker: w.Name, Address: s.address(w.Name), Run: &upstream.Run{
		Wait: smallCallWait,
		Order: upstream.Order{
			Task: m.task, Organisation: m.Spec.Organisation, Class: m.Spec.Class, Level: m.need.Level,
			Accelerated: m.Spec.Accelerators > 0, Incarnation: w.Incarnation, Lease: s.SmallLease,
			Payload: m.Spec.Payload,
		},
	}}})
}

// onSmall processes the result of a call about a small request.
func (s *State) onSmall(e *SmallResult) {
	v := &s.view(e.Worker).small
	m := s.smallByTask(e.Task)
	if e.Err == nil || fault.KindOf(e.Err) == fault.Refused {
		v.free, v.reportedAt, v.requestedSlots = e.Report.FreeSlots, s.now, 0
	}
	if m == nil || m.task != e.Task || m.worker == "" {
		return
	}
	if e.Err != nil {
		s.onSmallError(m, v, e)
		return
	}
	m.answerLost, m.heardAt = false, max(m.heardAt, e.SentAt)
	m.mayHaveRun = m.mayHaveRun || e.Report.Outcome != upstream.NeverStarted
	if e.Report.State != upstream.Ended {
		m.started = true
		s.pollSmall(m)
		return
	}
	v.inFlight--
	s.onSmallEnd(m, v, &e.Report)
}

// smallByTask returns the request of a task, or nil.
func (s *State) smallByTask(task string) *smallRequest {
	id, _, _ := strings.Cut(task, "/")
	return s.smallByID[id]
}

// onSmallError processes a failed call. If the first call certainly had no
// effect, the task never runs and the request is retried. Otherwise the task may
// run, so it is polled until its worker answers. It is retried when its lease has
// expired or the worker refuses the poll.
func (s *State) onSmallError(m *smallRequest, v *smallWorkerView, e *SmallResult) {
	firstCall := !m.started && !m.answerLost
	if firstCall && fault.NothingDone(e.Err) {
		v.inFlight--
		v.avoidUntil = s.now + smallQueueInterval
		if fault.KindOf(e.Err) == fault.Unavailable {
			v.avoidUntil = s.now + avoidAfterUnreachable
		}
		s.retrySmall(m)
		return
	}
	m.answerLost = true
	v.avoidUntil = s.now + avoidAfterUnreachable
	if s.now-m.heardAt > s.SmallLease+leaseMargin || fault.KindOf(e.Err) == fault.Refused {
		// The lease has expired, or the worker has restarted: the task no
		// longer runs.
		m.mayHaveRun = true
		v.inFlight--
		s.retrySmall(m)
		return
	}
	m.nextPoll = s.now + callRetryInterval
}

// onSmallEnd processes the final report about a task.
func (s *State) onSmallEnd(m *smallRequest, v *smallWorkerView, r *upstream.RunReport) {
	switch r.Outcome {
	case upstream.Completed:
		v.failures = 0
		o := job.Outcome{Result: job.Completed, Answers: []job.Answer{{Task: r.Task, Worker: m.worker, Size: r.Size, Sum: r.Sum}}}
		s.observe(m.Spec.Organisation, m.Spec.Class, "queueTime", max(0, s.now-m.arrivedAt-r.RunTime))
		s.observe(m.Spec.Organisation, m.Spec.Class, "runTime", r.RunTime)
		s.endSmall(m, Reply{Outcome: &o, Output: r.Output})
	case upstream.Failed:
		v.failures++
		v.avoidUntil = s.now + avoidAfterFailure<<min(v.failures, maxAvoidDoublings)
		m.failedOn = append(m.failedOn, m.worker)
		if len(m.failedOn) < maxSmallFailures && s.budget.Withdraw() {
			s.dispatchSmall(m)
			return
		}
		s.clearWorkerFailures(m)
		o := job.NewOutcome(job.Failed, fault.Refused, "the task failed: "+r.Message, "correct the job and submit it again")
		s.endSmall(m, Reply{Outcome: &o})
	default:
		s.retrySmall(m)
	}
}

// clearWorkerFailures removes the failures of a request from its workers when
// it has failed on maxSmallFailures workers, since the request itself must then
// be at fault.
func (s *State) clearWorkerFailures(m *smallRequest) {
	if len(m.failedOn) < maxSmallFailures {
		return
	}
	for _, n := range m.failedOn {
		v := &s.view(n).small
		v.failures, v.avoidUntil = max(0, v.failures-1), 0
	}
}

// retrySmall tries another worker when the retry budget allows it, and
// otherwise queues the request.
func (s *State) retrySmall(m *smallRequest) {
	if s.budget.Withdraw() {
		s.dispatchSmall(m)
		return
	}
	m.worker, m.answerLost, m.started = "", false, false
	s.queueSmall(m)
}

// pollSmall waits for the end of a sent task and renews its lease.
func (s *State) pollSmall(m *smallRequest) {
	m.nextPoll = 0
	s.emit(Effect{Small: &SmallCall{Worker: m.worker, Address: s.address(m.worker), Await: &upstream.Await{
		Task: m.task, Wait: smallCallWait, Fence: m.answerLost, Incarnation: m.incarnation,
	}}})
}

// endSmall answers a small request and removes it.
func (s *State) endSmall(m *smallRequest, r Reply) {
	delete(s.smallByID, m.id)
	r.Waiter, r.State = m.Waiter, ledger.Finished
	s.observe(m.Spec.Organisation, m.Spec.Class, "completionTime", s.now-m.arrivedAt)
	s.observe(m.Spec.Organisation, m.Spec.Class, string(r.Outcome.Result), 1)
	s.reply(r)
}

// stepSmall processes the queue, polls tasks whose answer was lost and ends the
// requests whose deadline has passed.
func (s *State) stepSmall() {
	s.dispatchQueuedSmall()
	for _, id := range sortedKeys(s.smallByID) {
		m := s.smallByID[id]
		switch {
		case s.now >= m.deadline:
			s.timeOutSmall(m)
		case m.worker != "" && m.nextPoll != 0 && s.now >= m.nextPoll:
			s.pollSmall(m)
		}
	}
}

// timeOutSmall ends a request whose deadline has passed. The outcome depends on
// what the worker has reported about the task.
func (s *State) timeOutSmall(m *smallRequest) {
	var o job.Outcome
	switch {
	case m.worker == "" && m.mayHaveRun:
		o = job.NewOutcome(job.Failed, fault.Overloaded, "the task was stopped before it completed, and no worker had a free slot for another try in time",
			"submit it again later")
	case m.worker == "":
		o = job.NewOutcome(job.NotRun, fault.Overloaded, "no worker had a free slot in time", "submit it again later")
	case m.started && !m.answerLost:
		o = job.NewOutcome(job.Failed, fault.Refused, "the task ran longer than the caller waited and was stopped",
			"declare a longer run time and wait longer")
	default:
		o = job.NewOutcome(job.Unknown, fault.Unknown, "the worker's answer was lost", "submit it again; it is repeatable")
	}
	s.stopSmall(m)
	s.endSmall(m, Reply{Outcome: &o})
}

// stopSmall stops the task of a small request, if a worker may have it.
func (s *State) stopSmall(m *smallRequest) {
	if m.worker == "" {
		return
	}
	s.view(m.worker).small.inFlight--
	s.emit(Effect{Small: &SmallCall{Worker: m.worker, Address: s.address(m.worker), Stop: &upstream.Stop{
		Task: m.task, Incarnation: m.incarnation,
	}}})
}

// dropSmall stops and removes the small request of a caller that has
// disconnected.
func (s *State) dropSmall(waiter string) {
	for _, id := range sortedKeys(s.smallByID) {
		if m := s.smallByID[id]; m.Waiter == waiter {
			s.stopSmall(m)
			delete(s.smallByID, id)
			return
		}
	}
}
