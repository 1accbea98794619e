package jobspec

import (
	"fmt"

	"github.com/limpetrelay/limpetrelay/fault"
)

const (
	// MaxSteps is the largest accepted number of steps.
	MaxSteps = 256
	// MaxTasks is the largest accepted number of tasks in a job; the progress of so
	// many fits into one record of the platform's store.
	MaxTasks = 4000
	// MaxPayload is the largest accepted payload, in bytes.
	MaxPayload = 4000
	// MaxAmount bounds each amount of resources and each time of a step.
	MaxAmount = 1 << 40
	// MaxOccurrences is the largest accepted number of occurrences.
	MaxOccurrences = 100_000
)

// Step is a number of equal tasks.
type Step struct {
	// Tasks is at least 1.
	Tasks int `cbor:"1,keyasint"`
	// Need is what one task occupies.
	Need Resources `cbor:"2,keyasint"`
	// Estimate is the caller's rough idea of a task's run time; 0 for none.
	Estimate int64 `cbor:"3,keyasint,omitempty"`
	// After lists earlier steps that must be done first.
	After []int `cbor:"4,keyasint,omitempty"`
	// Checkpoints is set when a task saves its progress.
	Checkpoints bool `cbor:"5,keyasint,omitempty"`
	// Gang is set when all tasks work only together.
	Gang bool `cbor:"6,keyasint,omitempty"`
	// SameRack is set when the tasks are slower on more than one rack.
	SameRack bool `cbor:"7,keyasint,omitempty"`
	// Label is what a worker must carry; empty for any worker.
	Label string `cbor:"8,keyasint,omitempty"`
	// DataRack is where the tasks are fastest; empty for anywhere.
	DataRack string `cbor:"9,keyasint,omitempty"`
	// PerWorker bounds the tasks of an occurrence on one worker; 0 for no bound.
	MaxPerWorker int `cbor:"10,keyasint,omitempty"`
	// Copies is set when a task may run more than once at the same time.
	AllowDuplicates bool `cbor:"11,keyasint,omitempty"`
	// Lasting tasks run until the job is cancelled.
	LongRunning bool `cbor:"12,keyasint,omitempty"`
	// Image names what the tasks run.
	Image string `cbor:"13,keyasint,omitempty"`
	// TargetLatency is the bound of a serving task's tail latency; 0 for none.
	TargetLatency int64 `cbor:"14,keyasint,omitempty"`
	// Fills is set when the processors of the tasks are not reserved.
	BestEffortCPU bool `cbor:"15,keyasint,omitempty"`
	// MayMiss is how many lasting tasks may be away through the scheduler's doing.
	MaxUnavailable int `cbor:"16,keyasint,omitempty"`
}

// Reserved returns what a task of s takes from a worker's capacity.
func (s *Step) Reserved() Resources {
	r := s.Need
	if s.BestEffortCPU {
		r.Cores = 0
	}
	return r
}

// Spec is a job as submitted, with the terms of its queue when it was accepted.
type Spec struct {
	// ID is the caller's name of the job.
	ID string `cbor:"1,keyasint"`
	// Route names the queue. The configuration in force decides its terms; the
	// fields below stand in for a route that has been removed.
	Route string `cbor:"2,keyasint"`
	// Organisation is empty for jobs of a public queue.
	Organisation string `cbor:"3,keyasint,omitempty"`
	// Service names the workers that run the job.
	Service string `cbor:"4,keyasint"`
	// Priority 0 goes first and may displace others.
	Priority int `cbor:"5,keyasint,omitempty"`
	// Attempts is how often a task, or a gang, may fail; at least 1.
	MaxAttempts int `cbor:"6,keyasint"`
	// Stretch and Slack give the objective: Stretch times the work plus Slack.
	Stretch float64 `cbor:"7,keyasint"`
	Slack   int64   `cbor:"8,keyasint"`
	// Payload is handed to the workers as it is.
	Payload string `cbor:"9,keyasint,omitempty"`
	Steps   []Step `cbor:"10,keyasint"`
	// Accepted is the accepting host's time of day, in milliseconds since 1970.
	AcceptedAt int64 `cbor:"11,keyasint"`
	// Occurrences is 0 for a job that runs once, now.
	Occurrences int `cbor:"12,keyasint,omitempty"`
	// First and Interval give the due times of the occurrences, in milliseconds.
	First    int64 `cbor:"13,keyasint,omitempty"`
	Interval int64 `cbor:"14,keyasint,omitempty"`
	// Digest is set in the outline of an ended job, which has no payload and no steps.
	Digest []byte `cbor:"15,keyasint,omitempty"`
}

// Validate returns an Invalid or TooLarge error when s is malformed.
func (s *Spec) Validate() error {
	switch {
	case len(s.Payload) > MaxPayload:
		return fault.Newf(fault.TooLarge, fmt.Sprintf("keep it within %d bytes", MaxPayload), "the payload has %d bytes", len(s.Payload))
	case len(s.Steps) == 0 || len(s.Steps) > MaxSteps:
		return fault.Newf(fault.Invalid, fmt.Sprintf("send 1 to %d steps", MaxSteps), "the job has %d steps", len(s.Steps))
	case s.Occurrences < 0 || s.Occurrences > MaxOccurrences || s.Interval < 0 || s.First < 0:
		return fault.New(fault.Invalid, "the occurrences or their times are out of range",
			fmt.Sprintf("send 0 to %d occurrences and times that are not negative", MaxOccurrences))
	}
	total := 0
	for i := range s.Steps {
		if err := s.Steps[i].validate(i); err != nil {
			return err
		}
		total += s.Steps[i].Tasks
	}
	if total > MaxTasks {
		return fault.Newf(fault.TooLarge, fmt.Sprintf("send at most %d tasks", MaxTasks), "the job has %d tasks", total)
	}
	return nil
}

// validate checks step number at.
func (s *Step) validate(index int) error {
	if s.Tasks < 1 || s.Tasks > MaxTasks {
		return fault.Newf(fault.Invalid, fmt.Sprintf("send 1 to %d tasks", MaxTasks), "step %d has %d tasks", index, s.Tasks)
	}
	for _, v := range [...]int64{
		s.Need.Cores, s.Need.Memory, s.Need.Accelerators, s.Estimate, s.TargetLatency, int64(s.MaxPerWorker), int64(s.MaxUnavailable),
	} {
		if v < 0 || v > MaxAmount {
			return fault.Newf(fault.Invalid, fmt.Sprintf("send 0 to %d", int64(MaxAmount)), "step %d has the amount %d", index, v)
		}
	}
	for _, a := range s.After {
		if a < 0 || a >= index {
			return fault.Newf(fault.Invalid, "name earlier steps only", "step %d waits for step %d", index, a)
		}
	}
	return nil
}

// Objective returns the time from submission within which the job is worth most.
func (s *Spec) Objective() int64 {
	return int64(s.Stretch*float64(s.CriticalPath())) + s.Slack
}

// Chain returns the estimated time of the longest chain of steps.
func (s *Spec) CriticalPath() int64 {
	ends := make([]int64, len(s.Steps))
	var longest int64
	for i := range s.Steps {
		for _, a := range s.Steps[i].After {
			ends[i] = max(ends[i], ends[a])
		}
		ends[i] += s.Steps[i].Estimate
		longest = max(longest, ends[i])
	}
	return longest
}

// Lasting reports whether a task of the job runs until the job is cancelled.
func (s *Spec) LongRunning() bool {
	for i := range s.Steps {
		if s.Steps[i].LongRunning {
			return true
		}
	}
	return false
}

// Due returns when occurrence k may start, in milliseconds since 1970.
func (s *Spec) Due(k int) int64 { return s.First + int64(k)*s.Interval }

// Rounds returns the number of times that the steps run.
func (s *Spec) OccurrenceCount() int { return max(1, s.Occurrences) }
