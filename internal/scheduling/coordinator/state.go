package coordinator

import (
	"cmp"
	"fmt"
	"log/slog"
	"maps"
	"slices"

	"github.com/limpetrelay/limpetrelay/internal/scheduling/estimate"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/jobspec"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/jobstate"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/placement"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/queueconfig"
)

// Settings configures a State. All times are in milliseconds. A zero field selects
// its default.
type Settings struct {
	// Lease is how long a worker keeps running its tasks without a renewal, unless it is
	// about to leave; see drainLease. Default 6000.
	Lease int64
	// MaxLease is the longest lease that a worker accepts; it shortens longer ones. Default
	// 10000.
	MaxLease int64
	// ClaimValidity is how long polls and stop orders may be sent after the last successful
	// append was sent, and when the leases that they grant end at the latest; see
	// MayIssueOrders and leaseFor. Default 12000.
	ClaimValidity int64
	// StartValidity is how long start orders may be sent and ends acknowledged after that
	// append was sent; see soleLeader. No other host claims the role within this time.
	// Default 1000.
	StartValidity int64
	// PollWait is how long a worker with runs may delay its answer to a poll.
	// Default 1000.
	PollWait int64
	// IdlePollWait is the same bound for a worker without runs. Default 2000.
	IdlePollWait int64
	// SilenceTimeout is the time without an answer after which a worker's next answer is
	// logged. Default 2500.
	SilenceTimeout int64
	// MaxStartOrders is the most start orders sent for an attempt whose orders are not
	// answered. Default 3.
	MaxStartOrders int
	// Quarantine is the length of a worker's first quarantine, during which it receives
	// no new tasks, and the length of the pause after it refused a start as unhealthy.
	// A worker is quarantined if tasks of different jobs fail on it or a task stalls.
	// Default 5000.
	Quarantine int64
	// PlanInterval is the least time between two scheduling passes. Default 15, or more with
	// many workers; see planInterval.
	PlanInterval int64
	// RenewInterval is the longest time between two renewals of the coordinator's
	// claim. Default 500.
	RenewInterval int64
	// GangWait is how long the first member of a gang waits for the others to start.
	// Default 3000.
	GangWait int64
	// RemoteFactor is the slowdown of a task that runs away from its data or from the
	// other members of its gang. Default 1.
	RemoteFactor float64
	// RestoreTime is how long it takes to resume from a checkpoint.
	RestoreTime int64
	// Retention is how long the end of a job is shown at least. Default 120000.
	Retention int64
	// LinkRate is the rate of the host's network link, in bytes a second, and CallRate the
	// number of calls a second that would take all of its processor time. Polls and start
	// orders are held back accordingly; 0 means no limit.
	LinkRate, CallRate float64
	// MaxOperatorAge is how old the operators' records may be when start orders are sent, as
	// Event.OperatorAge; 0 for no bound.
	MaxOperatorAge int64
	// MaxRecordBytes is the largest record that the store accepts, in bytes. Default 262144.
	MaxRecordBytes int
	// Host and Incarnation identify this process in its claim records.
	Host, Incarnation string
}

func (s *Settings) init() {
	setDefault(&s.Lease, 6000)
	setDefault(&s.MaxLease, 10_000)
	setDefault(&s.ClaimValidity, 12_000)
	setDefault(&s.StartValidity, 1000)
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
	setDefault(&s.MaxRecordBytes, 256<<10)
}

// setDefault sets v to d if v is zero.
func setDefault[T int | int64 | float64](v *T, d T) {
	if *v == 0 {
		*v = d
	}
}

// minClockRate is the lowest rate at which a worker's clock may run, relative to
// this host's clock.
const minClockRate = 0.98

// State is the coordinator's state. Set Settings and Term, then call Start with the
// contents of the job table, then Apply for each event. A State must not be used by
// several goroutines at once.
type State struct {
	Settings
	// Term is the coordinator's term, which is also the fencing token of its orders.
	Term uint64
	// ClaimedAt is when the claim was sent, on the clock of Event.Now; 0 means at Start.
	ClaimedAt int64
	// Predecessors holds the earlier coordinators that may still give orders, as far as they
	// are known. It is recorded with the claim until they are gone.
	Predecessors []jobstate.Holder
	// UnboundedLeases is set if leases of an earlier coordinator may outlast the validity of its
	// claim, by Lease at most: hosts of earlier versions grant such leases.
	UnboundedLeases bool
	// PriorLeases holds the bounded leases that the last coordinator left, and PriorLongLeases
	// the workers with longer ones; see the function PriorLeases.
	PriorLeases     []jobstate.WorkerLease
	PriorLongLeases []string
	// RecordedLeases holds the leases that are recorded beside the details.
	RecordedLeases jobstate.Leases
	// RecordedCheckpoints holds the checkpoints that are recorded beside the details. Those of
	// a job are passed on to it.
	RecordedCheckpoints jobstate.Checkpoints
	// Evacuated holds the data centres under evacuation at the start of the term.
	Evacuated []string
	// RecordedPaces holds the paces of workers that are recorded beside the details.
	RecordedPaces jobstate.Paces

	// now and wall are the times of the newest event; see Event.
	now, wall int64
	// acquiredAt is when the role was acquired.
	acquiredAt int64
	// predecessorsGone is set once no earlier coordinator can renew a lease any more,
	// which was established at predecessorsGoneAt.
	predecessorsGone   bool
	predecessorsGoneAt int64
	// priorLeases holds PriorLeases by worker ID.
	priorLeases map[string]jobstate.WorkerLease
	// claimVerifiedAt is when the newest successful append was sent. The append proves
	// that the role was still held then.
	claimVerifiedAt int64
	config          *queueconfig.Configuration

	jobs    map[string]*job
	workers map[string]*worker
	// uses holds what the attempts of each organisation occupy, by service.
	uses map[string]map[string]jobspec.Resources

	// unclaimedDetails holds the details of jobs that were not in the job table at Start,
	// until unclaimedRetention after it.
	unclaimedDetails jobstate.Details

	// runTimes holds the learned run times of the queues.
	runTimes estimate.RunTimes

	recorder
	advisor
	pacing
	evacuations
	paceRecorder
	backlogs

	// planDue is set when the waiting tasks should be considered again; plannedAt is
	// the time of the last scheduling pass. fullPlanDue is set when those that are not urgent
	// should be. passCut is set if the last pass of all requests ended before all were tried.
	planDue, fullPlanDue, passCut bool
	plannedAt                     int64
	// guaranteesValid is set while the guarantees are applied to the current jobs.
	guaranteesValid bool
	// byID holds the workers ordered by ID; nil if it has to be made anew.
	byID []*worker
	// reservations holds the workers reserved for waiting gangs, by service, in the order of the
	// reservations.
	reservations map[string][]*reservation
	// stopBudgets holds, by step, how many runs may still be preempted in this pass.
	stopBudgets map[jobspec.TaskID]*placement.StopBudget
	// capacityGains counts the changes that may have made capacity available. If it is
	// unchanged, a placement attempt need not be repeated yet; see skipRetry.
	capacityGains int64
	// examined counts the comparisons of requests with workers in all scheduling passes. Their
	// number is what a pass takes, whatever the host.
	examined int
	// stopping is the number of attempts that were ordered to stop and are not over.
	stopping int
	// resigned is set once the role has been given up; later events have no effect.
	resigned bool
	effects  []Effect
}

// job is an open job, or an ended one within its retention time.
type job struct {
	id       string
	spec     *jobspec.Spec
	progress *jobspec.Progress
	// cancelled is set once the job's caller has cancelled it.
	cancelled bool
	// acceptedAt is an estimate of when the job was accepted, on the clock of Event.Now.
	// deadline is acceptedAt plus the job's objective.
	acceptedAt, deadline int64
	// attempts holds the job's attempts that are not over, orphans included.
	attempts map[*attempt]struct{}
	// requests holds the job's requests as of the last pass, without rank and laxity. They
	// are computed anew if requestsValid is not set.
	requests      []request
	requestsValid bool
	// avoidedWorkers holds, by step and worker ID, when a task of the step last failed
	// or stalled on the worker or was rejected there as invalid.
	avoidedWorkers map[int]map[string]int64
	// guaranteed is set while the organisation's guarantee covers the job, since guaranteedAt.
	guaranteed   bool
	guaranteedAt int64
	// forgetAt is when the job is forgotten, on the clock of Event.Now; 0 before its end is in
	// the store.
	forgetAt int64
	// placed is set once this coordinator has placed a task of the job.
	placed bool
	// dirty is set while the job has changes that are not in a batch yet.
	dirty bool
	// parts holds hashes of the recorded parts of the job's checkpoints by key; empty while they
	// are recorded with its details.
	parts map[string]uint64
	// recordedView is the state that was last recorded for callers.
	recordedView callerView
	// work holds, by step, what is known of the work of its tasks.
	work map[jobspec.TaskID]*estimate.Work
	// observed holds the steps whose run time counts for the job's queue.
	observed map[int]bool
	// room holds, for steps that wait for a better place, since when there has been room for
	// twice what they would start; see placeStranded.
	room map[jobspec.TaskID]roomSeen
	// placementAttempts holds the last placement attempt of each step.
	placementAttempts map[jobspec.TaskID]placementAttempt
}

// Start loads the jobs of the job table, whose clock is that of now. It must be called once,
// before Apply. details must have been read after their partition was fenced.
// predecessorsGone reports that earlier coordinators certainly send no more orders.
func (s *State) Start(now, wall int64, table *jobstate.Table, details jobstate.Details, config *queueconfig.Configuration, predecessorsGone bool) []Effect {
	s.init()
	s.now, s.wall, s.acquiredAt, s.claimVerifiedAt, s.config = now, wall, now, s.ClaimedAt, config
	if s.ClaimedAt == 0 {
		s.claimVerifiedAt = now
	}
	s.jobs, s.workers = make(map[string]*job), make(map[string]*worker)
	s.priorLeases = make(map[string]jobstate.WorkerLease)
	for _, l := range s.PriorLeases {
		s.priorLeases[l.Worker] = l
	}
	s.recordedLeases = make(map[string]recordedLease, len(s.RecordedLeases))
	for id, l := range s.RecordedLeases {
		s.recordedLeases[id] = recordedLease{RecordedLease: l}
	}
	if predecessorsGone {
		s.markPredecessorsGone()
	}
	s.startEvacuations()
	runs := 0
	for id, j := range table.Jobs {
		if j.Spec == nil {
			continue
		}
		n := s.addJob(id, j, details[id])
		runs += len(n.attempts)
	}
	s.unclaimedDetails = make(jobstate.Details)
	for id, d := range details {
		if s.jobs[id] == nil {
			s.unclaimedDetails[id] = d
		}
	}
	s.log("role taken", slog.Uint64("term", s.Term), slog.Int("jobs", len(s.jobs)), slog.Int("runs", runs),
		slog.Uint64("next", table.NextOffset), slog.Bool("priorGone", predecessorsGone))
	s.planDue = true
	s.planAndFlush()
	return s.takeEffects()
}

// addJob adds a job of the job table and restores the attempts that may be running.
// detail is nil if no task was ever placed or the job has ended and its details were
// dropped.
func (s *State) addJob(id string, entry *jobstate.Job, detail *jobspec.Progress) *job {
	j := &job{id: id, spec: entry.Spec, cancelled: entry.Cancelled, acceptedAt: s.now}
	j.acceptedAt -= min(max(0, s.wall-entry.Spec.AcceptedAt), maxInitialAge)
	s.jobs[id], s.guaranteesValid = j, false
	j.progress = &jobspec.Progress{State: jobspec.Queued}
	if p := entry.Progress; p != nil {
		j.recordedView = callerView{state: p.State, started: p.Started}
		j.progress = p.Clone()
	}
	s.applyRoute(j)
	if j.progress.State.Ended() {
		s.retain(j, entry.EndSeenAt)
		if detail != nil {
			s.detailsToDrop = append(s.detailsToDrop, id)
		}
		return j
	}
	if detail != nil {
		j.progress = detail.Clone()
	}
	s.restoreCheckpoints(j)
	switch {
	case j.recordedView.started:
		j.progress.SetStarted()
	case j.progress.Started:
		s.startedJobs = append(s.startedJobs, j)
	}
	if !j.progress.Fits(j.spec) {
		// Two jobs were accepted under one ID, and the newest acceptance is not the one that
		// was run; or the record of the tasks cannot be read. What runs is stopped once the
		// workers list it.
		j.progress.Occurrences, j.progress.Abandoned = nil, nil
		s.endJob(j, jobspec.Failed, "its recorded tasks are not its own or cannot be read")
		return j
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

// maxInitialAge bounds a job's age as computed from the time of day of the host that
// accepted it, whose clock may be wrong. In milliseconds.
const maxInitialAge = 60_000

// addAttempt adds an attempt to its job.
func (j *job) addAttempt(a *attempt) {
	if j.attempts == nil {
		j.attempts = make(map[*attempt]struct{})
	}
	j.attempts[a] = struct{}{}
}

// sortedAttempts returns the job's attempts in a fixed order.
func (j *job) sortedAttempts() []*attempt {
	as := make([]*attempt, 0, len(j.attempts))
	for a := range j.attempts {
		as = append(as, a)
	}
	slices.SortFunc(as, func(a, b *attempt) int {
		return cmp.Or(compareTaskIDs(a.taskID(), b.taskID()), cmp.Compare(a.run, b.run), cmp.Compare(a.w.ID, b.w.ID))
	})
	return as
}

// applyRoute copies the settings of the job's route in the current configuration to
// its spec and computes its deadline.
func (s *State) applyRoute(j *job) {
	if s.config != nil {
		if r := s.config.Routes[j.spec.Route]; r != nil {
			j.spec.Service, j.spec.Priority, j.spec.MaxAttempts = r.Service, r.Priority, r.MaxAttempts
			j.spec.Stretch, j.spec.Slack = r.Stretch, r.Slack
		}
	}
	j.deadline = j.acceptedAt + j.spec.Objective()
}

// restoreAttempts creates attempts for the tasks that the last coordinator placed. What is
// left of a gang of which members have ended is stopped.
func (s *State) restoreAttempts(j *job, occurrence, step int, tasks []jobspec.Task) {
	var u *unit
	ended := false
	for i := range tasks {
		t := &tasks[i]
		if t.Phase != jobspec.Placed {
			ended = true
			continue
		}
		if u == nil || !j.spec.Steps[step].Gang {
			u = &unit{job: j, occurrence: occurrence, step: step, run: t.Run, sent: true}
		}
		a := s.newAttempt(u, i, s.workerFor(t.Worker))
		a.phase = phaseUnconfirmed
		a.lifetime = t.Lifetime
		u.noteRack(a.w.rack)
	}
	if u != nil && ended && j.spec.Steps[step].Gang {
		s.abortUnit(u, "members of its gang have ended")
	}
}

// Apply processes one event and returns its effects. It has no effect once the role
// has been given up.
func (s *State) Apply(e *Event) []Effect {
	s.now, s.wall = max(s.now, e.Now), e.Wall
	s.noteEventTimes(e)
	s.operatorsReadAt = s.now - e.OperatorAge
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
	case e.Evacuated != nil:
		s.evacuationsChanged(e.Evacuated)
	case e.Advice != nil:
		s.adviceAnswered(e.Advice)
	case e.PredecessorsGone:
		s.markPredecessorsGone()
		s.log("earlier coordinators have ended")
	case e.Replaced != "":
		s.resign(e.Replaced)
	case e.Configured != nil:
		s.config, s.guaranteesValid = e.Configured, false
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

// planAndFlush sends queued start orders, runs a scheduling pass if one is due and orders
// may be sent, and then writes the changes.
func (s *State) planAndFlush() {
	s.sendQueued()
	if s.MayIssueOrders() {
		switch {
		case (s.planDue || s.fullPlanDue) && s.mayPlanAll():
			s.planDue, s.fullPlanDue = false, false
			s.runPass(&s.fullPass, false)
		case s.planDue && s.mayPlanUrgent():
			s.planDue, s.fullPlanDue = false, true
			s.runPass(&s.urgentPass, true)
		}
	}
	s.flush()
}

// runPass runs a scheduling pass, of urgent requests only or of all, and notes it in p.
func (s *State) runPass(p *passPace, urgentOnly bool) {
	p.at, s.plannedAt, s.lastPass = s.now, s.now, p
	s.plan(urgentOnly)
}

// mayPlanAll reports whether enough time has passed for a scheduling pass of all requests.
func (s *State) mayPlanAll() bool {
	return s.now >= s.plannedAt+s.planInterval() && s.now >= s.fullPass.nextAt(fullPassShare)
}

// mayPlanUrgent reports whether enough time has passed for a scheduling pass of urgent requests,
// which does not wait for as long as the time of a pass of all requests demands.
func (s *State) mayPlanUrgent() bool {
	return s.now >= s.plannedAt+s.planInterval() && s.now >= s.urgentPass.nextAt(urgentPassShare)
}

// planInterval returns the least time between two scheduling passes, in milliseconds. A
// pass looks at all workers, so that it takes longer the more there are. What has arrived during a
// pass is handled before the next.
func (s *State) planInterval() int64 {
	d := max(s.PlanInterval, int64(len(s.workers)/workersPerPlanMs))
	if s.lastPass != nil {
		d = max(d, 2*s.lastPass.took)
	}
	return d
}

// workersPerPlanMs is the number of workers that lengthen the time between two scheduling
// passes by a millisecond.
const workersPerPlanMs = 30

// takeEffects returns the collected effects and clears them.
func (s *State) takeEffects() []Effect {
	out := s.effects
	s.effects = nil
	return out
}

// MayIssueOrders reports whether polls and stop orders may be sent and tasks placed: the
// role has not been given up, and the last successful append was sent at most ClaimValidity
// ago. Another host may hold the role by then; see soleLeader.
func (s *State) MayIssueOrders() bool {
	return !s.resigned && s.now-s.claimVerifiedAt <= s.ClaimValidity
}

// soleLeader reports whether no other host can hold the role yet: the last successful append
// was sent at most StartValidity ago. MayIssueOrders does not show this, since another host
// may have taken over while the store was out of reach or this process was paused. The
// fencing token does not make up for it, since a worker that restarts forgets the token.
func (s *State) soleLeader() bool {
	return !s.resigned && s.now <= s.soleUntil()
}

// soleUntil returns the time until which no other host can hold the role.
func (s *State) soleUntil() int64 { return s.claimVerifiedAt + s.StartValidity }

// tick performs the work that depends on the time alone.
func (s *State) tick() {
	for _, w := range s.sortedWorkers() {
		s.checkWorker(w)
	}
	// The store has rejected the appends of earlier coordinators since the role was
	// acquired, so none of them may send orders any more.
	if s.now-s.acquiredAt > s.ClaimValidity+leaseMargin {
		s.markPredecessorsGone()
	}
	if len(s.unclaimedDetails) > 0 && s.now-s.acquiredAt > unclaimedRetention {
		s.detailsToDrop = slices.AppendSeq(s.detailsToDrop, maps.Keys(s.unclaimedDetails))
		s.unclaimedDetails = nil
	}
	s.resignIfIsolated()
	s.openDueOccurrences()
	s.forgetEndedJobs()
	s.planDue = true
}

// unclaimedRetention is how long after the start details without a job are kept, in
// milliseconds. A job's record may be read after its details.
const unclaimedRetention = 10_000

const (
	// isolationCheckDelay is how long the role is held before unanswered polls can
	// make the coordinator resign, in milliseconds: the first calls to all workers
	// take a while.
	isolationCheckDelay = 4000
	// isolationMinWorkers is the number of listed workers below which silent workers
	// are no evidence that this host is isolated.
	isolationMinWorkers = 8
)

// resignIfIsolated resigns when most listed workers do not answer. The likelier cause is
// then this host or its network, and another host that takes over early need not wait
// for the workers' leases to expire.
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
		if s.silentFor(w) > s.PollWait+orderRetryInterval+s.callDelay() {
			silent++
		}
	}
	if listed >= isolationMinWorkers && 2*silent > listed {
		s.resign(fmt.Sprintf("%d of %d workers do not answer", silent, listed))
	}
}

// resign gives up the role; why is logged and passed to the driver.
func (s *State) resign(why string) {
	if s.resigned {
		return
	}
	s.resigned = true
	s.log("role lost", slog.Uint64("term", s.Term), slog.String("why", why))
	s.effects = append(s.effects, Effect{Resign: why})
}

// log emits a line for the log.
func (s *State) log(message string, attrs ...slog.Attr) {
	s.effects = append(s.effects, Effect{Log: &LogLine{Message: message, Attrs: attrs}})
}

// Counts returns the numbers of open jobs, attempts that are not over, and workers
// that can receive new tasks.
func (s *State) Counts() (jobs, attempts, workers int) {
	for _, j := range s.jobs {
		if !j.progress.State.Ended() {
			jobs++
		}
	}
	for _, w := range s.workers {
		attempts += len(w.attempts)
		if !s.unschedulable(w) && !s.quarantined(w) {
			workers++
		}
	}
	return jobs, attempts, workers
}

// Examined returns the number of comparisons of requests with workers in all scheduling passes
// so far, and Stopping the number of runs that were ordered to stop and are not known to be over.
func (s *State) Examined() int { return s.examined }

// Stopping is described at Examined.
func (s *State) Stopping() int { return s.stopping }

// target returns the destination of orders for w.
func (w *worker) target() placement.Target { return placement.Target{ID: w.ID, Address: w.Address} }
