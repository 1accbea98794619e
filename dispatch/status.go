package dispatch

// AttemptStatus is the state of a driven attempt as operators see it.
type AttemptStatus struct {
	Job     string `json:"job"`
	Attempt int    `json:"attempt"`
	// Phase is recover, reserve, start, run, stop or done.
	Phase string `json:"phase"`
	// Since is how long the phase has lasted, in milliseconds.
	Since int64 `json:"since"`
	// Cause is why the attempt is being stopped.
	Cause   string         `json:"cause,omitempty"`
	Members []MemberStatus `json:"members"`
}

// MemberStatus is the state of one member of an attempt.
type MemberStatus struct {
	Worker string `json:"worker"`
	// State is what the worker said last; empty for nothing.
	State string `json:"state"`
	// Lapsed is set when the lease has lapsed or the worker has restarted.
	Lapsed bool `json:"lapsed,omitempty"`
}

// Attempts returns the attempts that this host drives, in order of their jobs.
func (s *State) Attempts() []AttemptStatus {
	as := []AttemptStatus{}
	for _, id := range sortedKeys(s.drives) {
		d := s.drives[id]
		a := AttemptStatus{Job: id, Attempt: d.attempt, Phase: string(d.phase), Since: s.now - d.since, Cause: d.cause}
		for i := range d.members {
			m := &d.members[i]
			am := MemberStatus{Worker: m.worker, Lapsed: m.lapsed}
			if m.report != nil {
				am.State = string(m.report.State) + string(m.report.Outcome)
			}
			a.Members = append(a.Members, am)
		}
		as = append(as, a)
	}
	return as
}
