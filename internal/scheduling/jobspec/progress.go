package jobspec

import "slices"

// State is what a caller is told about a job.
type State string

// The states.
const (
	Queued    State = "queued"
	Running   State = "running"
	Completed State = "completed"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// Ended reports whether nothing of the job may start any more.
func (s State) Ended() bool { return s == Completed || s == Failed || s == Cancelled }

// Phase is how far a task has come.
type Phase uint8

// The phases.
const (
	// Waiting tasks run nowhere and may be placed.
	Waiting Phase = iota
	// Placed tasks have a run that may be at work on its worker.
	Placed
	// Done tasks have ended successfully.
	Done
)

// Task is the recorded state of one task.
type Task struct {
	Phase Phase
	// Run numbers the starts. It never falls, and 0 means that there was none.
	Run int
	// Failures counts the runs that failed. For a gang, the first task counts.
	Failures int
	// Worker and Born name the worker's lifetime of a placed task.
	Worker   string
	Lifetime int64
	// Checkpoint is the newest progress known; empty for none.
	Checkpoint string
}

// Unplace makes a placed task wait again. It forgets the worker, since every host reads
// every record.
func (t *Task) Requeue() { t.Phase, t.Worker, t.Lifetime = Waiting, "", 0 }

// Finish marks a task as done.
func (t *Task) Finish() { t.Phase, t.Worker, t.Lifetime, t.Checkpoint = Done, "", 0, "" }

// Progress is the recorded state of a job. Only the coordinator writes it. Rounds and
// Unheard are only in the coordinator's records.
type Progress struct {
	// Term is the coordinator's.
	Term  uint64 `cbor:"1,keyasint"`
	State State  `cbor:"2,keyasint"`
	// Begun is set once a task has been placed.
	Started     bool        `cbor:"3,keyasint,omitempty"`
	Occurrences Occurrences `cbor:"4,keyasint,omitempty"`
	// Unheard has the runs that were given up when their worker's lease had run out.
	// Their ends may still be heard once the worker answers again.
	Abandoned []Run `cbor:"6,keyasint,omitempty"`
	// Ended is the coordinator's time of day of the end, in milliseconds since 1970.
	EndedAt int64 `cbor:"5,keyasint,omitempty"`
}

// NewRound returns the tasks of an occurrence in which nothing has run.
func (s *Spec) NewOccurrence() [][]Task {
	steps := make([][]Task, len(s.Steps))
	for i := range steps {
		steps[i] = make([]Task, s.Steps[i].Tasks)
	}
	return steps
}

// StepDone reports whether all tasks of a step are done.
func StepDone(tasks []Task) bool {
	for i := range tasks {
		if tasks[i].Phase != Done {
			return false
		}
	}
	return true
}

// RoundDone reports whether all tasks of an occurrence are done.
func OccurrenceDone(steps [][]Task) bool {
	for _, t := range steps {
		if !StepDone(t) {
			return false
		}
	}
	return true
}

// Ready reports whether all steps before step are done in round.
func (s *Spec) Ready(steps [][]Task, step int) bool {
	for _, a := range s.Steps[step].After {
		if !StepDone(steps[a]) {
			return false
		}
	}
	return true
}

// Name identifies a task.
type TaskID struct {
	Job                     string
	Occurrence, Step, Index int
}

// Run is one run of a task.
type Run struct {
	_                       struct{} `cbor:",toarray"`
	Occurrence, Step, Index int
	// Number is the run's number.
	Number int
}

// Clone returns a deep copy of p.
func (p *Progress) Clone() *Progress {
	q := *p
	q.Abandoned = slices.Clone(p.Abandoned)
	q.Occurrences = make(Occurrences, len(p.Occurrences))
	for k, steps := range p.Occurrences {
		if steps == nil {
			continue
		}
		q.Occurrences[k] = make([][]Task, len(steps))
		for i, tasks := range steps {
			q.Occurrences[k][i] = append([]Task(nil), tasks...)
		}
	}
	return &q
}
