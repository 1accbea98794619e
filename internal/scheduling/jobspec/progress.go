package jobspec

import "slices"

// State is the state of a job as reported to callers.
type State string

// The states.
const (
	Queued    State = "queued"
	Running   State = "running"
	Completed State = "completed"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// Ended reports whether s is final: no task of the job may start any more.
func (s State) Ended() bool { return s == Completed || s == Failed || s == Cancelled }

// Phase is the phase of a task.
type Phase uint8

// The phases.
const (
	// Waiting tasks have no run and may be placed.
	Waiting Phase = iota
	// Placed tasks have a run that may be running on its worker.
	Placed
	// Done tasks have succeeded.
	Done
)

// MaxCheckpointBytes is the largest accepted size of a checkpoint, in bytes.
const MaxCheckpointBytes = 4096

// MaxAbandoned is the most runs in Progress.Abandoned. With MaxTasks tasks, whose checkpoints may be
// recorded in parts, the progress of a job then fits into one record.
const MaxAbandoned = 1000

// Task is the recorded state of one task.
type Task struct {
	Phase Phase
	// Run is the number of the newest run. It never decreases; 0 means that there has
	// been none.
	Run int
	// Failures is the number of failed runs. The failures of a gang are counted in its
	// first task.
	Failures int
	// Worker and Lifetime identify the worker process of a placed task; Lifetime is its
	// start time.
	Worker   string
	Lifetime int64
	// Checkpoint is the newest known checkpoint; empty for none.
	Checkpoint string
}

// Requeue returns a placed task to Waiting. It clears the worker to keep the record
// small.
func (t *Task) Requeue() { t.Phase, t.Worker, t.Lifetime = Waiting, "", 0 }

// Finish marks a task as done.
func (t *Task) Finish() { t.Phase, t.Worker, t.Lifetime, t.Checkpoint = Done, "", 0, "" }

// Progress is the recorded state of a job. Only the coordinator writes it. Occurrences
// and Abandoned are only in the records that no other host reads: jobstate.DetailRecord
// includes them, jobstate.ProgressRecord does not.
type Progress struct {
	// Term is the term of the coordinator that wrote the record.
	Term  uint64 `cbor:"1,keyasint"`
	State State  `cbor:"2,keyasint"`
	// Started is set once a run of a task has begun on a worker; see SetStarted.
	Started     bool        `cbor:"3,keyasint,omitempty"`
	Occurrences Occurrences `cbor:"4,keyasint,omitempty"`
	// Abandoned lists the runs that were abandoned when their worker's lease had expired.
	// The worker may still report their ends once it answers again. Only the newest MaxAbandoned
	// are kept.
	Abandoned []Run `cbor:"6,keyasint,omitempty"`
	// EndedAt is the coordinator's time of day when the job ended, in milliseconds since
	// 1970. Only hosts of earlier versions decide by it.
	EndedAt int64 `cbor:"5,keyasint,omitempty"`
}

// SetStarted records that a run has begun. A task that is only placed may never run: its start
// may be refused or not arrive.
func (p *Progress) SetStarted() {
	p.Started = true
	if p.State == Queued {
		p.State = Running
	}
}

// NewOccurrence returns the tasks, per step, of an occurrence that has not started.
func (s *Spec) NewOccurrence() [][]Task {
	steps := make([][]Task, len(s.Steps))
	for i := range steps {
		steps[i] = make([]Task, s.Steps[i].Tasks)
	}
	return steps
}

// Fits reports whether p has the steps and tasks of s. Occurrences that are done have none.
func (p *Progress) Fits(s *Spec) bool {
	if len(p.Occurrences) > s.OccurrenceCount() {
		return false
	}
	for _, steps := range p.Occurrences {
		if steps != nil && len(steps) != len(s.Steps) {
			return false
		}
		for i, tasks := range steps {
			if len(tasks) != s.Steps[i].Tasks {
				return false
			}
		}
	}
	return true
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

// OccurrenceDone reports whether all tasks of an occurrence are done.
func OccurrenceDone(steps [][]Task) bool {
	for _, t := range steps {
		if !StepDone(t) {
			return false
		}
	}
	return true
}

// Ready reports whether all steps that a step depends on are done. steps has the tasks
// of the occurrence.
func (s *Spec) Ready(steps [][]Task, step int) bool {
	for _, a := range s.Steps[step].After {
		if !StepDone(steps[a]) {
			return false
		}
	}
	return true
}

// TaskID identifies a task.
type TaskID struct {
	Job                     string
	Occurrence, Step, Index int
}

// Run identifies one run of a task of a job.
type Run struct {
	_                       struct{} `cbor:",toarray"`
	Occurrence, Step, Index int
	// Number is the run number, as in Task.Run.
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
