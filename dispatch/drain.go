package dispatch

import "github.com/limpetrelay/limpetrelay/ledger"

// handOver bounds the wait for another host to take the placer role, in
// milliseconds.
const handOverTimeout = 5000

// drainWaits answers the callers that wait for recorded jobs with the whole
// answer that the job goes on and can be asked for at another host.
func (s *State) answerAllWaits() {
	for _, id := range sortedKeys(s.jobWaits) {
		s.answerWaits(id)
	}
}

// finishDrain ends the shutdown once nobody waits for this host: no caller, no
// small request, no record on its way, and another host leads.
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

// CountOpenJobs returns the number of jobs of the own data centre without outcome.
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
