package dispatch

import (
	"github.com/limpetrelay/limpetrelay/internal/depot/logbook"
	"github.com/limpetrelay/limpetrelay/ledger"
	"github.com/limpetrelay/limpetrelay/record"
	"github.com/limpetrelay/limpetrelay/upstream"
)

const (
	// rankStep is the extra time, in milliseconds, that each further host waits
	// before it claims the placer role, so that claims seldom race.
	claimStagger = 300
	// followWait is how long the placer may hold its answer to a follower, in
	// milliseconds.
	followerPollHold = 1000
	// deputyPart and deputyPolls set the deputy's timeout, as a part of the
	// others', and the number of its polls in that time.
	standbyTimeoutDivisor = 2
	standbyPolls          = 4
)

// lookStep is the time between two looks at all heartbeats and all drives, in
// milliseconds. What concerns one of them is looked at with its own event.
const stepInterval = 10

// placer is the state of the placer role.
type placer struct {
	// leading is set while this host drives the data centre's jobs: as placer,
	// or as caretaker.
	leading bool
	// caretaker is set while the host leads without the term, because the
	// placer is silent and the claim has not been decided. A caretaker renews
	// leases and stops broken gangs; it places nothing.
	interim bool
	// claiming is set while this host's claim is on its way.
	claimPending bool
	// placerHeard is when the placer last answered.
	placerHeardAt int64
	// placerLeaving is set when the placer said that it is draining.
	placerLeaving bool
	// absentSince is when the placer's address first refused a connection; 0
	// when it has not since the placer was last heard.
	connectionRefusedSince int64
	// watchSince is when this host began to judge the placer's silence.
	watchingSince int64
	// drives is keyed by job. It is changed by setDrive and deleteDrive only.
	attempts map[string]*activeAttempt
	// byWorker is derived from drives: those with a member on a worker, in order
	// of their jobs. It is nil when it has to be derived anew.
	attemptsByWorker map[string][]*activeAttempt
	// beatAt and driveAt are when the heartbeats and the drives are looked at
	// again.
	nextHeartbeats, nextStep int64
	// holds is keyed by job: cells kept free for it.
	reservations map[string]*reservation
	// scheduledAt is when places were last chosen, and dirty is set when
	// something has changed since.
	scheduledAt int64
	dirty       bool
	// movedAt is when a job was last moved.
	migratedAt int64
}

// term returns the data centre's current term.
func (s *State) term() uint64 { return s.Ledger.Terms[s.DataCentre].Term }

// Term returns the data centre's current term.
func (s *State) Term() uint64 { return s.term() }

// PeerAddress returns where an entry host of the data centre listens, or
// nothing when it is not listed.
func (s *State) PeerAddress(name string) string {
	if h := s.hosts[name]; h.Kind == logbook.KindEntry {
		return h.Address
	}
	return ""
}

// PlacerName returns the host that holds the placer role in the log.
func (s *State) PlacerName() string { return s.Ledger.Terms[s.DataCentre].Host }

// onPeer takes what a peer said of itself.
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
	// A placer that has lost the log cannot place; others may replace it.
	if p.Placer && (p.LogAge < s.PlacerTimeout || s.logDown) {
		s.placerHeardAt = s.now
	}
}

// lead claims the placer role when it is vacant and drives it when held.
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

// vacant reports whether the placer has been silent for longer than its
// timeout, and this host's turn has come.
func (s *State) placerVacant(t ledger.Term) bool {
	if !s.Ready || s.draining || s.claimPending {
		return false
	}
	if s.placerLeaving {
		return true
	}
	wait := s.claimRank(t.Host) * claimStagger
	if s.connectionRefusedSince != 0 && s.now-s.connectionRefusedSince >= wait {
		return true
	}
	if t.Term != 0 {
		wait += s.placerTimeout()
	}
	return s.now-max(s.placerHeardAt, s.watchingSince) > wait
}

// deputy reports whether this host is the first in line for the placer role. It
// polls the placer more often than the others and replaces it sooner.
func (s *State) standby() bool { return s.listed && s.claimRank(s.PlacerName()) == 0 }

// placerTimeout returns the silence after which this host replaces the placer,
// before its rank is counted.
func (s *State) placerTimeout() int64 {
	if s.standby() {
		return s.PlacerTimeout / standbyTimeoutDivisor
	}
	return s.PlacerTimeout
}

// TailTimeouts returns how long the placer may hold its answer to this host's poll,
// and after how long this host gives the poll up, in milliseconds.
func (s *State) TailTimeouts() (hold, giveUp int64) {
	if s.standby() {
		giveUp = s.placerTimeout()
		return giveUp / standbyPolls, giveUp
	}
	return followerPollHold, followerPollHold + s.PlacerTimeout/standbyTimeoutDivisor
}

// rank returns this host's place among the entry hosts of its data centre,
// the silent placer left out.
func (s *State) claimRank(silent string) int64 {
	var r int64
	for n, h := range s.hosts {
		if h.Kind == logbook.KindEntry && !h.Leaving && n != silent && n < s.Host {
			r++
		}
	}
	return r
}

// claim writes a claim for the given term and leads as caretaker meanwhile.
func (s *State) claimRole(term uint64) {
	s.claimPending = true
	s.enqueueRecord(record.Record{Claim: &record.Claim{DataCentre: s.DataCentre, Term: term}})
	s.startLeading(true)
}

// onClaim takes the verdict on a claim for any data centre.
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

// startLeading takes the placed jobs of the data centre over. Their state is
// unknown until their workers have reported.
func (s *State) startLeading(caretaker bool) {
	if s.leading {
		if s.interim && !caretaker {
			s.interim, s.dirty = false, true
			for _, n := range s.workerNames() {
				s.forgetRecordedTasks(s.view(n))
				s.recordWorker(n, s.view(n))
			}
		}
		return
	}
	s.leading, s.interim, s.dirty = true, caretaker, true
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

// stopLeading drops everything that belongs to the role.
func (s *State) stopLeading() {
	if !s.leading {
		return
	}
	s.leading, s.interim = false, false
	clear(s.attempts)
	s.attemptsByWorker = nil
	clear(s.reservations)
}

// othersPresent reports whether another entry host of the data centre is
// listed.
func (s *State) otherHostsListed() bool {
	for n, h := range s.hosts {
		if h.Kind == logbook.KindEntry && !h.Leaving && n != s.Host {
			return true
		}
	}
	return false
}
