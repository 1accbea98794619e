package coordinator

import (
	"github.com/limpetrelay/limpetrelay/internal/scheduling/jobspec"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/precedence"
)

// addUse counts what an attempt occupies for its organisation.
func (s *State) addUse(a *attempt) {
	service, o := a.job.spec.Service, a.job.spec.Organisation
	if s.uses == nil {
		s.uses = make(map[string]map[string]jobspec.Resources)
	}
	if s.uses[service] == nil {
		s.uses[service] = make(map[string]jobspec.Resources)
	}
	a.usedService = service
	s.uses[service][o] = s.uses[service][o].Add(a.need)
}

// removeUse undoes addUse. The service of a job may have changed with the configuration.
func (s *State) removeUse(a *attempt) {
	o := a.job.spec.Organisation
	left := s.uses[a.usedService][o].Sub(a.need)
	if left == (jobspec.Resources{}) {
		delete(s.uses[a.usedService], o)
		return
	}
	s.uses[a.usedService][o] = left
}

// setPrecedence sets the precedence of the requests of a pass.
func (s *State) setPrecedence(rs []request) {
	shares := s.shares(rs)
	over := make(map[[2]string]bool)
	for i := range rs {
		r := &rs[i]
		p := &r.precedence
		*p = precedence.Waiting{Rank: r.rank, Late: r.laxity < 0, Deadline: r.deadline}
		if r.rank < rankNonUrgent {
			continue
		}
		if last, ok := r.placementAttempts[stepID(r.job, r.occurrence, r.step)]; ok && s.now-last.since > precedence.MaxWait {
			p.Rank, p.Overdue = rankNonUrgent, true
		}
		key := [2]string{r.spec.Service, r.spec.Organisation}
		isOver, known := over[key]
		if !known {
			isOver = shares[r.spec.Service].Over(s.uses[r.spec.Service][r.spec.Organisation], s.guaranteeOf(r.spec.Organisation))
			over[key] = isOver
		}
		p.OverShare = isOver
	}
}

// guaranteeOf returns the number of accelerators that an organisation is guaranteed.
func (s *State) guaranteeOf(organisation string) int64 {
	if s.config == nil || s.config.Organisations[organisation] == nil {
		return 0
	}
	return s.config.Organisations[organisation].Guaranteed
}

// shares returns the fair shares of the services for which requests that are not urgent wait.
func (s *State) shares(rs []request) map[string]*precedence.Shares {
	shares := make(map[string]*precedence.Shares)
	waiting := make(map[[2]string]bool)
	for i := range rs {
		spec := rs[i].spec
		if rs[i].rank < rankNonUrgent {
			continue
		}
		if shares[spec.Service] == nil {
			shares[spec.Service] = &precedence.Shares{Active: len(s.uses[spec.Service])}
		}
		key := [2]string{spec.Service, spec.Organisation}
		if _, uses := s.uses[spec.Service][spec.Organisation]; !uses && !waiting[key] {
			waiting[key] = true
			shares[spec.Service].Active++
		}
	}
	if len(shares) == 0 {
		return shares
	}
	for _, w := range s.sortedWorkers() {
		if sh := shares[w.Service]; sh != nil && w.listed {
			sh.Capacity = sh.Capacity.Add(w.Capacity)
		}
	}
	return shares
}
