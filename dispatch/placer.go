package dispatch

import (
	"github.com/limpetrelay/limpetrelay/internal/storage/logservice"
	"github.com/limpetrelay/limpetrelay/ledger"
	"github.com/limpetrelay/limpetrelay/record"
	"github.com/limpetrelay/limpetrelay/upstream"
)

const (
	// claimStagger is the additional delay per preceding host before a host
	// claims the placer role, in milliseconds. It makes racing claims unlikely.
	claimStagger = 300
	// followerPollHold is how long the placer may hold its answer to a
	// follower's poll, in milliseconds.
	followerPollHold = 1000
	// standbyTimeoutDivisor divides PlacerTimeout for the standby, and
	// standbyPolls is the number of its polls in that time.
	standbyTimeoutDivisor = 2
	standbyPolls          = 4
)

// stepInterval is the time between two passes over all heartbeats, and over all
// attempts, in milliseconds. An event about a single worker or attempt is
// processed at once.
const stepInterval = 10

// placer is the state of the placer role.
type placer struct {
	// leading is set while this host controls the data centre's jobs, as placer
	// or as interim placer.
	leading bool
	// interim is set while this host leads without holding the term: the placer
	// is silent and the log has not decided the claim yet. An interim placer
	// renews leases and stops gangs that have lost a member; it places nothing.
	interim bool
	// claimPending is set while this host's claim is in the outbox or in the
	// log, without a verdict.
	claimPending bool
	// placerHeardAt is when the placer last answered.
	placerHeardAt int64
	// placerLeaving is set when the placer has reported that it is draining.
	placerLeaving bool
	// connectionRefusedSince is when the placer's address first refused a
	// connection since the placer last answered; 0 when it has not.
	connectionRefusedSince int64
	// watchingSince is when this host began to measure the placer's silence.
	watchingSince int64
	// attempts is keyed by job. Whatever changes it must reset
	// attemptsByWorker.
	attempts map[string]*activeAttempt
	// attemptsByWorker is an index of attempts: those with a member on a
	// worker, in order of their job IDs. It is nil when it must be rebuilt.
	attemptsByWorker map[string][]*activeAttempt
	// nextHeartbeats and nextStep are the times of the next pass over the
	// heartbeats and over the attempts.
	nextHeartbeats, nextStep int64
	// reservations is keyed by job.
	reservations map[string]*reservation
	// scheduledAt is the time of the last scheduling round, and dirty is set
	// when something has changed since.
	scheduledAt int64
	dirty       bool
	// migratedAt is when the last migration of a job began.
	migratedAt int64
}

// term returns the data centre's current term.
func (s *State) term() uint64 { return s.Ledger.Terms[s.DataCentre].Term }

// Term returns the data centre's current term.
func (s *State) Term() uint64 { return s.term() }

// PeerAddress returns the address of an entry host of the data centre, or an
// empty string when the host is not listed.
func (s *State) PeerAddress(name string) string {
	if h := s.hosts[name]; h.Kind == logservice.KindEntry {
		return h.Address
	}
	return ""
}

// PlacerName returns the name of the host that holds the placer role according
// to the log.
func (s *State) PlacerName() string { return s.Ledger.Terms[s.DataCentre].Host }

// onPeer processes the status of a peer. Hosts other than the placer are
// ignored.
func (s *State) onPeer(p *PeerStatus) {
	if p.Name != s.PlacerName() {
		return
	}
	if !p.OK {
		if p.ConnectionRefused && s.connectionRefusedSince == 0 {
			s.connectionRefusedSince = s.now
		}
		return
	}
	s.connectionRefusedSince = 0
	if p.Leaving {
		s.placerLeaving = true
		return
	}
	// A placer that has lost the log cannot place jobs, so it may be replaced,
	// unless this host has lost the log too.
	if p.Placer && (p.LogAge < s.PlacerTimeout || s.logDown) {
		s.placerHeardAt = s.now
	}
}

// stepPlacer claims the placer role when it is vacant, and performs its
// periodic work while this host leads.
func (s *State) stepPlacer() {
	if s.watchingSince == 0 {
		s.watchingSince = s.now
	}
	t := s.Ledger.Terms[s.DataCentre]
	mine := t.Incarnation == s.Incarnation && t.Term != 0
	switch {
	case s.NotReadyReason != "" || s.draining && !mine:
		s.stopLeading()
		return
	case mine:
		s.startLeading(false)
	case s.placerVacant(t):
		s.claimRole(t.Term + 1)
	}
	if !s.leading {
		return
	}
	if s.now >= s.nextHeartbeats {
		s.nextHeartbeats = s.now + stepInterval
		s.sendHeartbeats()
	}
	if s.now >= s.nextStep {
		s.nextStep = s.now + stepInterval
		s.stepAttempts()
	}
	if !s.interim && !s.draining {
		s.schedule()
	}
}

// placerVacant reports whether this host must claim the placer role now. It
// claims at once when the placer is draining. When the placer refuses
// connections, has been silent for longer than the timeout or does not exist
// yet, the hosts that precede this one may claim first.
func (s *State) placerVacant(t ledger.Term) bool {
	if !s.Ready || s.draining || s.claimPending {
		return false
	}
	if s.placerLeaving {
		return true
	}
	delay := s.claimRank(t.Host) * claimStagger
	if s.connectionRefusedSince != 0 && s.now-s.connectionRefusedSince >= delay {
		return true
	}
	if t.Term != 0 {
		delay += s.placerTimeout()
	}
	return s.now-max(s.placerHeardAt, s.watchingSince) > delay
}

// standby reports whether this host is first in the order of succession. The
// standby polls the placer more often than other hosts and replaces it sooner.
func (s *State) standby() bool { return s.listed && s.claimRank(s.PlacerName()) == 0 }

// placerTimeout returns the silence after which this host replaces the placer,
// in milliseconds, without the delay for its rank.
func (s *State) placerTimeout() int64 {
	if s.standby() {
		return s.PlacerTimeout / standbyTimeoutDivisor
	}
	return s.PlacerTimeout
}

// TailTimeouts returns how long the placer may hold its answer to this host's
// poll, and the timeout of the poll, in milliseconds.
func (s *State) TailTimeouts() (hold, timeout int64) {
	if s.standby() {
		timeout = s.placerTimeout()
		return timeout / standbyPolls, timeout
	}
	return followerPollHold, followerPollHold + s.PlacerTimeout/standbyTimeoutDivisor
}

// claimRank returns the number of entry hosts of the data centre that precede
// this one, by name, in claiming the placer role. It does not count leaving
// hosts and the host except, which is the placer to be replaced.
func (s *State) claimRank(except string) int64 {
	var r int64
	for n, h := range s.hosts {
		if h.Kind == logservice.KindEntry && !h.Leaving && n != except && n < s.Host {
			r++
		}
	}
	return r
}

// claimRole records a claim for the given term and leads as interim placer
// until the verdict.
func (s *State) claimRole(term uint64) {
	s.claimPending = true
	s.enqueueRecord(record.Record{Claim: &record.Claim{DataCentre: s.DataCentre, Term: term}})
	s.startLeading(true)
}

// onClaim processes the verdict on a claim. It ignores claims for other data
// centres.
func (s *State) onClaim(r *record.Record, v ledger.Verdict) {
	if r.Claim.DataCentre != s.DataCentre {
		return
	}
	mine := r.Incarnation == s.Incarnation
	if mine {
		s.claimPending = false
	}
	if v.Err != nil {
		if mine && s.interim {
			s.stopLeading()
		}
		return
	}
	s.placerHeardAt, s.placerLeaving, s.watchingSince, s.connectionRefusedSince = s.now, false, s.now, 0
	if !mine {
		s.stopLeading()
	}
}

// startLeading takes over the placed jobs of the data centre, or confirms an
// interim placer. The state of the jobs is unknown until their workers have
// reported.
func (s *State) startLeading(interim bool) {
	if s.leading {
		if s.interim && !interim {
			s.interim, s.dirty = false, true
			for _, n := range s.workerNames() {
				s.forgetRecordedTasks(s.view(n))
				s.recordWorker(n, s.view(n))
			}
		}
		return
	}
	s.leading, s.interim, s.dirty = true, interim, true
	for n, v := range s.views {
		s.views[n] = &workerView{tasks: map[string]upstream.TaskReport{}, firstSeenAt: s.now, heardAt: -1, small: v.small}
	}
	open := s.Ledger.OpenJobs()
	for _, id := range sortedKeys(open) {
		if j := open[id]; j.State == ledger.Placed && j.DataCentre == s.DataCentre {
			s.addAttempt(newAttempt(j, phaseRecover, s.now))
		}
	}
}

// stopLeading discards all state that belongs to the placer role.
func (s *State) stopLeading() {
	if !s.leading {
		return
	}
	s.leading, s.interim = false, false
	clear(s.attempts)
	s.attemptsByWorker = nil
	clear(s.reservations)
}

// otherHostsListed reports whether the platform lists another entry host of the
// data centre that is not leaving.
func (s *State) otherHostsListed() bool {
	for n, h := range s.hosts {
		if h.Kind == logservice.KindEntry && !h.Leaving && n != s.Host {
			return true
		}
	}
	return false
}
