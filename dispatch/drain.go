package dispatch

import "github.com/limpetrelay/limpetrelay/ledger"

// handOverTimeout limits the wait for another host to acquire the placer role,
// in milliseconds.
const handOverTimeout = 5000

// answerAllWaits answers all callers that wait for recorded jobs with the job's
// current state. The jobs continue and can be queried at another host.
func (s *State) answerAllWaits() {
	for _, id := range sortedKeys(s.jobWaits) {
		s.answerWaits(id)
	}
}

// finishDrain completes the shutdown once nothing depends on this host: no
// caller, small request or record is pending, and this host no longer leads. It
// waits for another host to lead, and for its own remaining records, for at most
// handOverTimeout, and not at all when no other host is listed.
func (s *State) finishDrain() {
	if !s.draining || s.drained {
		return
	}
	if len(s.pendingRecords) > 0 || len(s.jobWaits) > 0 || len(s.smallByID) > 0 || len(s.deferred) > 0 {
		return
	}
	if (s.leading || len(s.queue) > 0) && s.now-s.drainStart < handOverTimeout && s.otherHostsListed() {
		return
	}
	s.drained = true
	s.emit(Effect{Drained: &Drained{}})
}

// CountOpenJobs returns the numbers of queued and of placed jobs of this host's
// data centre.
func (s *State) CountOpenJobs() (queued, placed int) {
	for _, j := range s.Ledger.OpenJobs() {
		if j.DataCentre != s.DataCentre {
			continue
		}
		switch j.State {
		case ledger.Queued:
			queued++
		case ledger.Placed:
			placed++
		}
	}
	return queued, placed
}
