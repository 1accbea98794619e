package coordinator

import (
	"fmt"
	"log/slog"

	"github.com/limpetrelay/limpetrelay/internal/scheduling/jobspec"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/jobstate"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/placement"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/queueconfig"
)

// Settings configures a State. Times are in milliseconds. Zero fields have
// defaults.
type Settings struct {
	// Lease is how long a worker runs on without a renewal. Default 6000.
	Lease int64
	// Unproved is how long leases are renewed and orders given without a record that
	// proves the role. Default 12000.
	ClaimValidity int64
	// HoldWait is how long a worker with runs may wait before it answers a hold.
	// Default 1000.
	PollWait int64
	// IdleWait is the same for a worker without runs. Default 2000.
	IdlePollWait int64
	// Silence is the time without an answer after which a worker gets nothing new.
	// Default 2500.
	SilenceTimeout int64
	// MaxStartOrders is the number of start orders sent before an unanswered start is
	// abandoned. Default 3.
	MaxStartOrders int
	// Quarantine is how long a worker that fails different jobs gets nothing new, at
	// first. Default 5000.
	Quarantine int64
	// PlanEvery is the least time between two passes over the waiting tasks. Default 15.
	PlanInterval int64
	// PulseEvery is the longest time between two records of the coordinator.
	// Default 500.
	RenewInterval int64
	// GangWait is how long the first member of a gang waits for the others. Default 3000.
	GangWait int64
	// FarFactor is how much slower a task is away from its data or its gang. Default 1.
	RemoteFactor float64
	// Restore is the time to resume from a checkpoint.
	RestoreTime int64
	// Kept is how long ended jobs are kept. Default 120000.
	Retention int64
	// Host and Incarnation name the process in its records.
	Host, Incarnation string
}

func (s *Settings) init() {
	setDefault(&s.Lease, 6000)
	setDefault(&s.ClaimValidity, 12_000)
	setDefault(&s.PollWait, 1000)
	setDefault(&s.IdlePollWait, 2000)
	setDefault(&s.SilenceTimeout, 2500)
	setDefault(&s.MaxStartOrders, 3)
	setDefault(&s.Quarantine, 5000)
	setDefault(&s.PlanInterval, 15)
	setDefault(&s.RenewInterval, 500)
	setDefault(&s.GangWait, 3000)
	setDefault(&s.RemoteFactor, 1)
	setDefault(&s.Retention, 120_000)
}

// def sets v to d when it is zero.
func setDefault[T int | int64 | float64](v *T, d T) {
	if *v == 0 {
		*v = d
	}
}

// drift is the smallest speed of a worker's clock against the host's.
const minClockRate = 0.98

// State is the coordinator's state. Its Settings and Term are set before the first
// Apply, and Start is called with what the book holds. It must not be used by two
// goroutines at once.
type State struct {
	Settings
	// Term is the coordinator's term and the workers' fencing token.
	Term uint64

	now, wall int64
	// began is when the role was taken.
	acquiredAt int64
	// priorGone is set once no earlier coordinator can renew a lease any more, since
	// priorGoneAt.
	predecessorsGone   bool
	predecessorsGoneAt int64
	// proved is when the newest append that succeeded was sent.
	claimVerifiedAt int64
	config          *queueconfig.Configuration

	jobs    map[string]*job
	workers map[string]*worker

	recorder
	advisor

	planDue   bool
	plannedAt int64
	// kept has the seats that are kept for a gang, by service.
	reservations map[string]*reservation
	// freed counts what may have made room.
	capacityGains int64
	resigned      bool
	effects       []Effect
}

// job is an open job, or an ended one until it is forgotten.
type job struct {
	id       string
	spec     *jobspec.Spec
	progress *jobspec.Progress
	// cancelled is set once the caller has cancelled the job.
	cancelled bool
	// since is when the job was first seen, in the reducer's time; deadline is when
	// its objective ends.
	acceptedAt, deadline int64
	// live is the number of its attempts.
	liveAttempts int
	// avoid has the workers on which a task of the step failed, by step, and when.
	avoidedWorkers map[int]map[string]int64
	// guaranteed is set while the organisation's guarantee covers the job.
	guaranteed bool
	dirty      bool
	// shown is what was last recorded for callers.
	recordedView callerView
	// tried has the last look for places of each step.
	placementAttempts map[jobspec.TaskID]placementAttempt
}

// Start takes over the jobs of the book. It must be called once, before Apply. details
// were read after their partition was fenced.
// priorGone tells that earlier coordinators certainly give no orders any more.
func (s *State) Start(now, wall int64, b *jobstate.Table, details jobstate.Details, c *queueconfig.Configuration, predecessorsGone bool) []Effect {
	s.init()
	s.now, s.wall, s.acquiredAt, s.claimVerifiedAt, s.config = now, wall, now, now, c
	s.jobs, s.workers = make(map[string]*job), make(map[string]*worker)
	if predecessorsGone {
		s.markPredecessorsGone()
	}
	runs := 0
	for id, j := range b.Jobs {
		if j.Spec == nil {
			continue
		}
		n := s.addJob(id, j, details[id])
		runs += n.liveAttempts
	}
	for id := range details {
		if s.jobs[id] == nil {
			s.detailsToDrop = append(s.detailsToDrop, id)
		}
	}
	s.log("role taken", slog.Uint64("term", s.Term), slog.Int("jobs", len(s.jobs)), slog.Int("runs", runs),
		slog.Uint64("next", b.NextOffset), slog.Bool("priorGone", predecessorsGone))
	s.planDue = true
	s.planAndFlush()
	return s.takeEffects()
}

// addJob takes over a job of the book, with the attempts that may be at work. detail is
// nil when no task was ever placed, and for ended jobs.
func (s *State) addJob(id string, b *jobstate.Job, detail *jobspec.Progress) *job {
	j := &job{id: id, spec: b.Spec, cancelled: b.Cancelled, acceptedAt: s.now}
	j.acceptedAt -= min(max(0, s.wall-b.Spec.AcceptedAt), maxInitialAge)
	s.jobs[id] = j
	j.progress = &jobspec.Progress{State: jobspec.Queued}
	if p := b.Progress; p != nil {
		j.recordedView = callerView{state: p.State, started: p.Started}
		j.progress = p.Clone()
	}
	s.applyRoute(j)
	if j.progress.State.Ended() {
		if detail != nil {
			s.detailsToDrop = append(s.detailsToDrop, id)
		}
		return j
	}
	if detail != nil {
		j.progress = detail.Clone()
	}
	for occurrence, steps := range j.progress.Occurrences {
		for step, tasks := range steps {
			s.restoreAttempts(j, occurrence, step, tasks)
		}
	}
	if j.cancelled {
		s.cancelJob(j)
	}
	return j
}

// maxAge bounds the age of a job that is worked out from another host's time of
// day, which may be wrong.
const maxInitialAge = 60_000

// setTerms works out the job's deadline under the configuration in force.
func (s *State) applyRoute(j *job) {
	if s.config != nil {
		if r := s.config.Routes[j.spec.Route]; r != nil {
			j.spec.Service, j.spec.Priority, j.spec.MaxAttempts = r.Service, r.Priority, r.MaxAttempts
			j.spec.Stretch, j.spec.Slack = r.Stretch, r.Slack
		}
	}
	j.deadline = j.acceptedAt + j.spec.Objective()
}

// adopt makes attempts of the tasks that the last coordinator has placed.
func (s *State) restoreAttempts(j *job, occurrence, step int, tasks []jobspec.Task) {
	var u *unit
	for i := range tasks {
		t := &tasks[i]
		if t.Phase != jobspec.Placed {
			continue
		}
		if u == nil || !j.spec.Steps[step].Gang {
			u = &unit{job: j, occurrence: occurrence, step: step, run: t.Run, sent: true}
		}
		a := s.newAttempt(u, i, s.workerFor(t.Worker))
		a.phase = phaseUnconfirmed
		a.lifetime = t.Lifetime
	}
}

// Apply takes one event and returns its effects.
func (s *State) Apply(e *Event) []Effect {
	s.now, s.wall = max(s.now, e.Now), e.Wall
	switch {
	case s.resigned:
		return nil
	case e.Job != nil:
		s.jobChanged(e.Job)
	case e.Listed != nil:
		s.workerListed(e.Listed)
	case e.Unlisted != nil:
		s.workerUnlisted(e.Unlisted.ID)
	case e.Polled != nil:
		s.pollAnswered(e.Polled)
	case e.OrderAnswered != nil:
		s.orderAnswered(e.OrderAnswered)
	case e.Recorded != nil:
		s.batchRecorded(e.Recorded)
	case e.Advice != nil:
		s.adviceAnswered(e.Advice)
	case e.PredecessorsGone:
		s.markPredecessorsGone()
		s.log("earlier coordinators have ended")
	case e.Replaced != "":
		s.resign(e.Replaced)
	case e.Configured != nil:
		s.config = e.Configured
		for _, j := range s.jobs {
			s.applyRoute(j)
		}
		s.planDue = true
	default:
		s.tick()
	}
	s.planAndFlush()
	return s.takeEffects()
}

// finishCall places what can be placed and writes what has changed.
func (s *State) planAndFlush() {
	if s.planDue && s.now >= s.plannedAt+s.PlanInterval && s.MayIssueOrders() {
		s.planDue, s.plannedAt = false, s.now
		s.plan()
	}
	s.flush()
}

// take returns the collected effects.
func (s *State) takeEffects() []Effect {
	out := s.effects
	s.effects = nil
	return out
}

// Commanding reports whether the role was proved recently enough to give orders.
func (s *State) MayIssueOrders() bool {
	return !s.resigned && s.now-s.claimVerifiedAt <= s.ClaimValidity
}

// Sole reports whether no earlier coordinator can renew a lease any more.
func (s *State) SoleLeader() bool { return s.predecessorsGone }

// tick does what only depends on the time.
func (s *State) tick() {
	for _, w := range s.workers {
		s.checkWorker(w)
	}
	if s.now-s.acquiredAt > s.ClaimValidity+leaseMargin {
		s.markPredecessorsGone()
	}
	s.resignIfIsolated()
	s.openDueOccurrences()
	s.forgetEndedJobs()
	s.planDue = true
}

const (
	// aloneAfter is the least time in the role before it is given up for silence, in
	// milliseconds: the first calls to all workers take a while.
	isolationCheckDelay = 4000
	// aloneLeast is the number of workers below which silence tells nothing.
	isolationMinWorkers = 8
)

// resignIfAlone gives the role up when most workers do not answer: the likelier cause
// is this host or its network, and another host should not have to wait for leases.
func (s *State) resignIfIsolated() {
	if s.now-s.acquiredAt < isolationCheckDelay {
		return
	}
	listed, silent := 0, 0
	for _, w := range s.workers {
		if !w.listed {
			continue
		}
		listed++
		if s.silentFor(w) > s.PollWait+orderRetryInterval {
			silent++
		}
	}
	if listed >= isolationMinWorkers && 2*silent > listed {
		s.resign(fmt.Sprintf("%d of %d workers do not answer", silent, listed))
	}
}

// resign gives the role up.
func (s *State) resign(why string) {
	if s.resigned {
		return
	}
	s.resigned = true
	s.log("role lost", slog.Uint64("term", s.Term), slog.String("why", why))
	s.effects = append(s.effects, Effect{Resign: why})
}

// line adds a line for the log.
func (s *State) log(message string, attrs ...slog.Attr) {
	s.effects = append(s.effects, Effect{Log: &LogLine{Message: message, Attrs: attrs}})
}

// Open returns the numbers of open jobs, live attempts and usable workers.
func (s *State) Counts() (jobs, attempts, workers int) {
	for _, j := range s.jobs {
		if !j.progress.State.Ended() {
			jobs++
		}
	}
	for _, w := range s.workers {
		attempts += len(w.attempts)
		if !s.unschedulable(w) {
			workers++
		}
	}
	return jobs, attempts, workers
}

// target returns where orders for w go.
func (w *worker) target() placement.Target { return placement.Target{ID: w.ID, Address: w.Address} }
