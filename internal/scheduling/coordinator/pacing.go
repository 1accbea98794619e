package coordinator

import (
	"cmp"
	"math"
	"slices"
)

// pacing limits the calls that the coordinator makes to what its host's link and
// processor can carry. Stops and records are always sent at once, since freed capacity
// depends on them; what would need more stops is not placed, see mayPreempt. Start orders,
// which carry the payload of their job, and polls wait for their turn. Without a limit,
// answers would miss their timeouts, and the repeated orders would add to the load that
// delayed them.
type pacing struct {
	// link and processor account for all calls, and polls and stops for the part of either that
	// these may take.
	link, processor, polls, stops meter
	// queuedUnits holds the units that may start and wait for their turn.
	queuedUnits []*unit
	// queuedPolls holds the workers whose poll waits for its turn, in the order in which
	// the polls were due.
	queuedPolls []*worker
	// pendingStarts is the number of attempts that are placed and whose start order was not
	// sent.
	pendingStarts int
	// waited is how long the event being handled has waited.
	waited int64
	// fullPass and urgentPass are the pace of scheduling passes of all requests and of the urgent
	// ones. lastPass is the one that the last pass was of, and ranPass set if it is the last event
	// that caused it.
	fullPass, urgentPass passPace
	lastPass             *passPace
	ranPass              bool
	// passExamined is the number of comparisons of the last pass, and passRate that of the
	// comparisons in a millisecond; 0 if it is not known.
	passExamined int
	passRate     float64
}

// passPace is when scheduling passes of one kind run. Times are in milliseconds.
type passPace struct {
	// at is when the last one began, and took how long it took.
	at, took int64
}

// nextAt returns the earliest time of the next pass if passes take at most the given share of the
// time.
func (p *passPace) nextAt(share float64) int64 { return p.at + int64(float64(p.took)/share) }

// meter accounts for work that a resource carries one piece after the other. Times are in
// milliseconds. The zero value is an idle resource.
type meter struct {
	// freeAt is when the resource has carried all that was added.
	freeAt float64
}

// add adds work that takes the resource d.
func (m *meter) add(now int64, d float64) { m.freeAt = max(m.freeAt, float64(now)) + d }

// delay returns how long the resource takes for what was added.
func (m *meter) delay(now int64) int64 { return int64(max(0, m.freeAt-float64(now))) }

const (
	// orderOverhead is the size of an order without its payload, in bytes: the body's
	// fields, the headers, and the packets that open the connection and acknowledge the
	// answer.
	orderOverhead = 450
	// recordOverhead is the same for an append to the store.
	recordOverhead = 500
	// linkShare and processorShare are the shares of the link's rate and of the call rate
	// that the coordinator's calls may take. The rest is for callers, for reads of the
	// store and for scheduling passes.
	linkShare      = 0.8
	processorShare = 0.75
	// pollLinkShare and pollProcessorShare are the parts of that which polls may take.
	pollLinkShare      = 0.3
	pollProcessorShare = 0.5
	// stopShare is the part of both that stop orders may take.
	stopShare = 0.5
	// startBurst and pollBurst are how long the calls that were made may take before
	// further ones wait, in milliseconds. Both are short against the timeout of an order.
	startBurst = 150
	pollBurst  = 50
	// maxStartBacklog is how long the start orders of what was placed may take until nothing
	// that is not urgent is placed any more, in milliseconds. What waits for its start order
	// takes up capacity that work of a lower rank number could use.
	maxStartBacklog = 500
	// maxGuaranteedStopBacklog and maxUrgentStopBacklog are how long the stop orders that were sent
	// may take until nothing is preempted any more for guaranteed and for other urgent work, in
	// milliseconds. The difference is what guaranteed work does not wait for.
	maxGuaranteedStopBacklog = 500
	maxUrgentStopBacklog     = 100
	// maxPassTime is how long a scheduling pass may take until it is cut, in milliseconds. Starts and
	// ends wait meanwhile.
	maxPassTime = 40
	// fullPassShare and urgentPassShare are the shares of the time that scheduling passes of all
	// requests and of the urgent ones may take.
	fullPassShare   = 0.15
	urgentPassShare = 0.2
	// longestPass is what a pass counts as at most in these, in milliseconds.
	longestPass = 100
	// minPassExamined is the number of comparisons that a pass always makes, and from which on its
	// time tells how long one takes.
	minPassExamined = 20_000
)

// charge accounts for a call of n bytes.
func (s *State) charge(n int) {
	link, processor := s.callTimes(n)
	s.link.add(s.now, link)
	s.processor.add(s.now, processor)
}

// chargePoll accounts for a poll.
func (s *State) chargePoll() {
	s.charge(orderOverhead)
	link, processor := s.callTimes(orderOverhead)
	s.polls.add(s.now, max(link/pollLinkShare, processor/pollProcessorShare))
}

// chargeStop accounts for a stop order.
func (s *State) chargeStop() {
	s.charge(orderOverhead)
	link, processor := s.callTimes(orderOverhead)
	s.stops.add(s.now, max(link, processor)/stopShare)
}

// noteEventTimes records how long events wait and how long the last pass took.
func (s *State) noteEventTimes(e *Event) {
	s.waited = e.Waited
	if !s.ranPass {
		return
	}
	// The process may have been paused in the pass.
	s.ranPass, s.lastPass.took = false, min(e.Took, longestPass)
	if s.passExamined >= minPassExamined && e.Took > 0 {
		s.passRate = float64(s.passExamined) / float64(e.Took)
	}
}

// maxExamined returns the number of comparisons after which a scheduling pass is cut, by what the
// last pass achieved.
func (s *State) maxExamined() int {
	if s.passRate == 0 {
		return math.MaxInt
	}
	return max(minPassExamined, int(maxPassTime*s.passRate))
}

// mayPreempt reports whether work may be preempted for a request now, so that the stops are
// executed soon. Answers that wait to be handled count as a backlog too.
func (s *State) mayPreempt(r *request) bool {
	backlog := max(s.stops.delay(s.now), s.waited)
	if r.rank == rankGuaranteed {
		return backlog < maxGuaranteedStopBacklog
	}
	return backlog < maxUrgentStopBacklog
}

// leastPollWait returns how long workers must be able to delay their answers, in milliseconds, so
// that the polls of all workers take at most half of what polls may take. The rest is for polls
// that answer at once to report ends: while a poll waits for its turn, so does freed capacity.
func (s *State) leastPollWait() int64 {
	link, processor := s.callTimes(orderOverhead)
	each := max(link/pollLinkShare, processor/pollProcessorShare)
	return min(s.IdlePollWait, int64(2*each*float64(len(s.workers))))
}

// callTimes returns how long a call of n bytes takes the coordinator's shares of the link
// and of the processor, in milliseconds.
func (s *State) callTimes(n int) (link, processor float64) {
	if s.LinkRate > 0 {
		link = float64(n) * 1000 / (s.LinkRate * linkShare)
	}
	if s.CallRate > 0 {
		processor = 1000 / (s.CallRate * processorShare)
	}
	return link, processor
}

// callDelay returns the estimated time until all calls made so far have been sent, in
// milliseconds.
func (s *State) callDelay() int64 { return max(s.link.delay(s.now), s.processor.delay(s.now)) }

// mayQueueStarts returns how many tasks of a request may be placed now, at least, so that their
// start orders are sent in time.
func (s *State) mayQueueStarts(r *request) int {
	link, processor := s.callTimes(orderOverhead + len(r.spec.Payload))
	each := max(link, processor)
	if r.rank < rankNonUrgent || each == 0 {
		return math.MaxInt
	}
	left := maxStartBacklog - float64(max(s.callDelay(), s.waited)) - each*float64(s.pendingStarts)
	return max(0, int(math.Ceil(left/each)))
}

// queueUnit sends the start orders of a unit as soon as it is its turn.
func (s *State) queueUnit(u *unit) {
	if u.queued {
		return
	}
	u.queued = true
	s.queuedUnits = append(s.queuedUnits, u)
	s.sendQueued()
}

// queuePoll sends a poll to a worker as soon as it is its turn.
func (s *State) queuePoll(w *worker) {
	if w.pollQueued || w.pollPending {
		return
	}
	w.pollQueued, w.pollDue, w.nextPollAt = true, false, 0
	s.queuedPolls = append(s.queuedPolls, w)
	s.sendQueued()
}

// sendQueued sends queued polls and then the start orders of queued units, as far as the
// host can carry them. It sends nothing without a valid claim, and no starts while another
// host may hold the role: the calls may have been queued before the process was paused. Units of the lowest rank come first, then those of the oldest job.
// The orders of a gang are sent together, because its members wait for each other on their
// workers.
func (s *State) sendQueued() {
	if !s.MayIssueOrders() {
		return
	}
	for len(s.queuedPolls) > 0 && s.polls.delay(s.now) < pollBurst {
		w := s.queuedPolls[0]
		s.queuedPolls = s.queuedPolls[1:]
		w.pollQueued = false
		s.poll(w)
	}
	if len(s.queuedUnits) == 0 || s.callDelay() >= startBurst || !s.mayStart() {
		return
	}
	slices.SortStableFunc(s.queuedUnits, func(a, b *unit) int {
		return cmp.Or(cmp.Compare(s.rank(a.job), s.rank(b.job)), cmp.Compare(a.job.acceptedAt, b.job.acceptedAt))
	})
	for len(s.queuedUnits) > 0 && s.callDelay() < startBurst {
		u := s.queuedUnits[0]
		s.queuedUnits = s.queuedUnits[1:]
		u.queued = false
		s.sendUnit(u)
	}
}
