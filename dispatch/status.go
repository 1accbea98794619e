package dispatch

// AttemptStatus is the state of an attempt, as shown to operators.
type AttemptStatus struct {
	Job     string `json:"job"`
	Attempt int    `json:"attempt"`
	// Phase is recover, reserve, start, run, stop or done.
	Phase string `json:"phase"`
	// Since is the time since the phase began, in milliseconds.
	Since int64 `json:"since"`
	// Cause is why the attempt is being stopped.
	Cause   string         `json:"cause,omitempty"`
	Members []MemberStatus `json:"members"`
}

// MemberStatus is the state of one member of an attempt, as shown to operators.
type MemberStatus struct {
	Worker string `json:"worker"`
	// State is the state that the worker reported last, or for ended tasks the
	// state followed by the kind of end; empty before the first report.
	State string `json:"state"`
	// Lapsed is set when the member's lease has expired, its worker has
	// restarted, or it was reserved and can no longer be started.
	Lapsed bool `json:"lapsed,omitempty"`
}

// Attempts returns the attempts that this host controls, in order of their job
// IDs.
func (s *State) Attempts() []AttemptStatus {
	statuses := []AttemptStatus{}
	for _, id := range sortedKeys(s.attempts) {
		a := s.attempts[id]
		st := AttemptStatus{Job: id, Attempt: a.number, Phase: string(a.phase), Since: s.now - a.phaseSince, Cause: a.cause}
		for i := range a.members {
			m := &a.members[i]
			ms := MemberStatus{Worker: m.worker, Lapsed: m.lapsed}
			if m.report != nil {
				ms.State = string(m.report.State) + string(m.report.Outcome)
			}
			st.Members = append(st.Members, ms)
		}
		statuses = append(statuses, st)
	}
	return statuses
}
