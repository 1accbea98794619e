package dispatch

import (
	"hash/fnv"
	"math/rand/v2"

	"github.com/limpetrelay/limpetrelay/fault"
	"github.com/limpetrelay/limpetrelay/internal/storage/logservice"
	"github.com/limpetrelay/limpetrelay/ledger"
	"github.com/limpetrelay/limpetrelay/policy"
	"github.com/limpetrelay/limpetrelay/record"
	"github.com/limpetrelay/limpetrelay/retry"
)

// Settings configures a State. All times are in milliseconds. Zero fields have
// defaults.
type Settings struct {
	// Host, Incarnation and DataCentre are required.
	Host        string
	Incarnation string
	DataCentre  string
	// HeartbeatInterval is how long a worker may hold its answer to a
	// heartbeat, and the delay before the next heartbeat after a failed one.
	// Default 1000.
	HeartbeatInterval int64
	// TaskLease is the lease duration of jobs with a single task. Default
	// 15000.
	TaskLease int64
	// GangLease is the lease duration of gang members. Default 6000.
	GangLease int64
	// SmallLease is the lease duration of small requests. Default 6000.
	SmallLease int64
	// PlacerTimeout is the silence after which the placer is replaced. Default
	// 2000.
	PlacerTimeout int64
	// GoneAfter is the silence after which a worker is recorded as gone, which
	// makes its cells unusable. Default 10000.
	GoneAfter int64
	// AcceptTimeout limits how long a caller waits for the verdict on its
	// record. Default 5000.
	AcceptTimeout int64
	// SmallRecordAfter is how long a small request waits for a slot before it
	// is recorded as a job. Default 1000.
	SmallRecordAfter int64
	// SmallWaitLimit bounds the queueing time of an organisation's oldest small
	// request. While it is longer, new small requests of the organisation are
	// rejected. Default 500.
	SmallWaitLimit int64
	// RetryReserve is the maximum number of retries of small requests that the
	// retry budget accumulates. Default retry.DefaultReserve.
	RetryReserve float64
	// SmallMaxRunTime is the longest declared run time of a small request.
	// Default 60000.
	SmallMaxRunTime int64
	// StopGrace is the time that a stopped task has to save a checkpoint.
	// Default 500.
	StopGrace int64
	// BaseEjectionTime is the duration of a worker's first ejection. Default
	// 60000.
	BaseEjectionTime int64
	// BatchRecords is the maximum number of records in one append. Default 128;
	// 1 turns batching off.
	BatchRecords int
	// MaxPayloadBytes bounds the payloads of all open jobs and of those that wait for the
	// log, in bytes. 0 means no bound.
	MaxPayloadBytes int64
	// MaxJobs bounds the jobs that the ledger keeps, open ones and those that ended within
	// ledger.EndedJobRetention. One organisation may have half of what the others leave. 0
	// means no bound.
	MaxJobs int
	// Policy orders jobs and ranks nodes. The zero value is policy.Cells.
	Policy policy.Policy
}

// expireInterval is the time between two checks for expired deadlines, in
// milliseconds.
const expireInterval = 20

// State is the state of one entry host. Settings must be set before the first
// Apply; the zero value of the rest is ready to use. State is not safe for
// concurrent use.
type State struct {
	Settings
	// Ledger is the replicated state.
	Ledger ledger.Ledger
	// Ready is set once the ledger has caught up with the log. It stays set
	// while the log is unreachable.
	Ready bool
	// NotReadyReason is the reason why the host cannot become ready; empty when
	// it can.
	NotReadyReason string

	outbox
	placer
	clusterView
	smallRequests

	now, wall int64
	rand      *rand.Rand
	budget    retry.Budget
	jobWaits  map[string][]jobWait
	// deferred holds queries about jobs that are not yet in this host's ledger.
	deferred []deferredQuery
	// answeringDeferred is set while a deferred query is processed again, so
	// that it is not deferred a second time.
	answeringDeferred bool
	// pendingRecords is keyed by the sequence number of the caller's record.
	pendingRecords map[uint64]pendingRecord
	effects        []Effect
	// nextExpiry is the time of the next check for expired deadlines.
	nextExpiry        int64
	draining          bool
	drained           bool
	drainStart        int64
	invariantsChecked int
	invariantsBroken  int
}

// jobWait is a caller that waits for the end of a job.
type jobWait struct {
	waiter   string
	deadline int64
}

// deferredQuery is a query about an unknown job. Another host may have accepted
// the job a moment ago.
type deferredQuery struct {
	event    Event
	deadline int64
}

// pendingRecord is a caller that waits for the verdict on its record.
type pendingRecord struct {
	waiter   string
	deadline int64
	// wait is how long the caller then waits for the end of its job, in
	// milliseconds.
	wait int64
	// cancel is set for the record of a cancellation.
	cancel bool
}

// Apply processes one event and returns the resulting effects.
func (s *State) Apply(e Event) []Effect {
	s.init()
	s.now, s.wall = max(s.now, e.Now), e.Wall
	s.effects = nil
	s.handle(&e)
	if s.now >= s.nextExpiry {
		s.nextExpiry = s.now + expireInterval
		s.expireWaits()
	}
	s.dropRead()
	s.stepPlacer()
	s.flushOutbox()
	s.finishDrain()
	return s.effects
}

// IsPlacer reports whether this host believes that it holds the placer role.
func (s *State) IsPlacer() bool { return s.leading && !s.interim }

// Draining reports whether the host is shutting down.
func (s *State) Draining() bool { return s.draining }

// InvariantCounts returns the numbers of checked and of broken invariants.
func (s *State) InvariantCounts() (checked, broken int) {
	return s.invariantsChecked, s.invariantsBroken
}

// LogDown reports whether the last call to the log failed.
func (s *State) LogDown() bool { return s.logDown }

// LogAge returns the time since the log last answered, in milliseconds.
func (s *State) LogAge() int64 { return s.now - s.logHeardAt }

// handle calls the handler of the event.
func (s *State) handle(e *Event) {
	switch {
	case e.Tail != nil:
		s.onTail(e.Tail)
	case e.Restored != nil:
		s.onRestored(e.Restored)
	case e.Appended != nil:
		s.onAppended(e.Appended)
	case e.Submit != nil:
		s.onSubmit(e.Submit)
	case e.Wait != nil:
		s.onWait(e.Wait)
	case e.Cancel != nil:
		s.onCancel(e.Cancel)
	case e.Patch != nil:
		s.onPatch(e.Patch)
	case e.Disconnect != nil:
		s.onDisconnect(e.Disconnect)
	case e.Heartbeat != nil:
		s.onHeartbeat(e.Heartbeat)
	case e.Member != nil:
		s.onMember(e.Member)
	case e.Small != nil:
		s.onSmall(e.Small)
	case e.Hosts != nil:
		s.onHosts(e.Hosts)
	case e.Drain != nil:
		s.draining, s.drainStart = true, s.now
		s.answerAllWaits()
	}
}

// init sets the defaults and creates the maps of a zero State.
func (s *State) init() {
	if s.jobWaits != nil {
		return
	}
	s.jobWaits = map[string][]jobWait{}
	s.pendingRecords = map[uint64]pendingRecord{}
	s.views = map[string]*workerView{}
	s.hosts = map[string]logservice.Host{}
	s.smallByID = map[string]*smallRequest{}
	s.attempts = map[string]*activeAttempt{}
	s.reservations = map[string]*reservation{}
	for _, d := range []struct {
		p *int64
		v int64
	}{
		{&s.HeartbeatInterval, 1000}, {&s.TaskLease, 15000}, {&s.GangLease, 6000}, {&s.SmallLease, 6000},
		{&s.PlacerTimeout, 2000}, {&s.GoneAfter, 10000}, {&s.AcceptTimeout, 5000}, {&s.SmallRecordAfter, 1000},
		{&s.SmallMaxRunTime, 60000}, {&s.StopGrace, 500}, {&s.BaseEjectionTime, 60000},
	} {
		if *d.p == 0 {
			*d.p = d.v
		}
	}
	if s.BatchRecords == 0 {
		s.BatchRecords = 128
	}
	h := fnv.New64a()
	h.Write([]byte(s.Incarnation))
	s.smallQueue.TargetWait, s.budget.Reserve = s.SmallWaitLimit, s.RetryReserve
	s.rand = rand.New(rand.NewPCG(h.Sum64(), 1))
}

// emit adds an effect to the result of Apply.
func (s *State) emit(e Effect) { s.effects = append(s.effects, e) }

// reply answers a caller.
func (s *State) reply(r Reply) { s.emit(Effect{Reply: &r}) }

// replyError answers a caller with an error.
func (s *State) replyError(waiter string, err error) {
	s.reply(Reply{Waiter: waiter, Err: fault.As(err)})
}

// observe emits a measurement.
func (s *State) observe(org, class, name string, v int64) {
	s.emit(Effect{Observe: &Observation{Organisation: org, Class: class, Name: name, Value: v}})
}

// reportViolation counts and reports a broken invariant.
func (s *State) reportViolation(message string) {
	s.invariantsBroken++
	s.emit(Effect{Violation: &Violation{Message: message}})
}

// checkInvariants checks the invariants of the ledger.
func (s *State) checkInvariants() {
	broken, n := s.Ledger.CheckInvariants()
	s.invariantsChecked += n
	for _, b := range broken {
		s.reportViolation(b)
	}
}

// expireWaits answers the callers whose deadline has passed. It also performs
// the periodic work on small requests and deferred queries.
func (s *State) expireWaits() {
	for _, seq := range sortedKeys(s.pendingRecords) {
		if p := s.pendingRecords[seq]; s.now >= p.deadline {
			delete(s.pendingRecords, seq)
			s.timeOutRecord(seq, p)
		}
	}
	for _, id := range sortedKeys(s.jobWaits) {
		kept := s.jobWaits[id][:0]
		for _, w := range s.jobWaits[id] {
			if s.now < w.deadline {
				kept = append(kept, w)
				continue
			}
			s.replyJob(w.waiter, id)
		}
		if s.jobWaits[id] = kept; len(kept) == 0 {
			delete(s.jobWaits, id)
		}
	}
	s.stepSmall()
	s.answerDeferred()
}

// enqueueRecord adds a record of this host to the outbox and returns its
// sequence number.
func (s *State) enqueueRecord(r record.Record) uint64 {
	s.sequence++
	r.Host, r.Incarnation, r.Sequence, r.At = s.Host, s.Incarnation, s.sequence, s.wall
	s.queue = append(s.queue, outboxItem{record: r, payload: payloadBytes(&r)})
	return s.sequence
}
