package jobspec

import (
	"fmt"
	"unsafe"

	"github.com/limpetrelay/limpetrelay/fault"
)

const (
	// MaxSteps is the largest accepted number of steps.
	MaxSteps = 256
	// MaxTasks is the largest accepted number of tasks in a job. The progress of that
	// many tasks fits into one record of the platform's store.
	MaxTasks = 4000
	// MaxPayload is the largest accepted payload, in bytes.
	MaxPayload = 4000
	// MaxAmount is the upper bound of each resource amount and each time of a step.
	MaxAmount = 1 << 40
	// MaxOccurrences is the largest accepted number of occurrences.
	MaxOccurrences = 100_000
	// MaxTime is the latest accepted time, in milliseconds since 1970. With it and
	// MaxAmount as the longest interval, no due time overflows.
	MaxTime = 1 << 53
)

// Step is a set of identical tasks.
type Step struct {
	// Tasks is at least 1.
	Tasks int `cbor:"1,keyasint"`
	// Need is the resources that one task requires.
	Need Resources `cbor:"2,keyasint"`
	// Estimate is the caller's estimate of a task's run time; 0 for none.
	Estimate int64 `cbor:"3,keyasint,omitempty"`
	// After lists the indices of earlier steps that must be done first.
	After []int `cbor:"4,keyasint,omitempty"`
	// Checkpoints is set when the tasks save checkpoints.
	Checkpoints bool `cbor:"5,keyasint,omitempty"`
	// Gang is set when the tasks make progress only while all of them run.
	Gang bool `cbor:"6,keyasint,omitempty"`
	// SameRack is set when the tasks run slower if spread over several racks.
	SameRack bool `cbor:"7,keyasint,omitempty"`
	// Label is a label that a worker must have; empty for any worker.
	Label string `cbor:"8,keyasint,omitempty"`
	// DataRack is the rack on which the tasks run fastest; empty for no preference.
	DataRack string `cbor:"9,keyasint,omitempty"`
	// MaxPerWorker is the largest number of tasks of an occurrence on one worker; 0 for
	// no bound.
	MaxPerWorker int `cbor:"10,keyasint,omitempty"`
	// AllowDuplicates is set when several runs of a task may overlap.
	AllowDuplicates bool `cbor:"11,keyasint,omitempty"`
	// LongRunning tasks run until the job is cancelled.
	LongRunning bool `cbor:"12,keyasint,omitempty"`
	// Image names the image that the tasks run.
	Image string `cbor:"13,keyasint,omitempty"`
	// TargetLatency is the upper bound of a serving task's tail latency; 0 for none.
	TargetLatency int64 `cbor:"14,keyasint,omitempty"`
	// BestEffortCPU is set when no processor cores are reserved for the tasks.
	BestEffortCPU bool `cbor:"15,keyasint,omitempty"`
	// MaxUnavailable is the largest number of long-running tasks that may be unavailable at
	// a time because of the scheduler.
	MaxUnavailable int `cbor:"16,keyasint,omitempty"`
}

// Reserved returns the part of a worker's capacity that is allocated to a task of s.
func (s *Step) Reserved() Resources {
	r := s.Need
	if s.BestEffortCPU {
		r.Cores = 0
	}
	return r
}

// Spec is a job as submitted, with the queue's parameters at its acceptance.
type Spec struct {
	// ID is chosen by the caller.
	ID string `cbor:"1,keyasint"`
	// Route names the queue. While the configuration in force has this route, the route's
	// values replace Service, Priority, MaxAttempts, Stretch and Slack.
	Route string `cbor:"2,keyasint"`
	// Organisation is empty for jobs of a public queue.
	Organisation string `cbor:"3,keyasint,omitempty"`
	// Service names the pool of workers that run the job.
	Service string `cbor:"4,keyasint"`
	// Priority 0 is the highest and may preempt other jobs.
	Priority int `cbor:"5,keyasint,omitempty"`
	// MaxAttempts is the number of failures after which a task, or a gang, is not run
	// again; at least 1.
	MaxAttempts int `cbor:"6,keyasint"`
	// Stretch and Slack define the objective: Stretch times the critical path, plus Slack.
	Stretch float64 `cbor:"7,keyasint"`
	Slack   int64   `cbor:"8,keyasint"`
	// Payload is passed to the workers unchanged.
	Payload string `cbor:"9,keyasint,omitempty"`
	Steps   []Step `cbor:"10,keyasint"`
	// AcceptedAt is the accepting host's time of day, in milliseconds since 1970.
	AcceptedAt int64 `cbor:"11,keyasint"`
	// Occurrences is 0 for a job that runs once and immediately.
	Occurrences int `cbor:"12,keyasint,omitempty"`
	// First is the due time of the first occurrence, in milliseconds since 1970, and
	// Interval the time between occurrences.
	First    int64 `cbor:"13,keyasint,omitempty"`
	Interval int64 `cbor:"14,keyasint,omitempty"`
	// Digest is set in the summary of an ended job, which has no payload and no steps.
	Digest []byte `cbor:"15,keyasint,omitempty"`
}

// Validate returns an Invalid or TooLarge error when s is malformed.
func (s *Spec) Validate() error {
	switch {
	case len(s.Payload) > MaxPayload:
		return fault.Newf(fault.TooLarge, fmt.Sprintf("keep it within %d bytes", MaxPayload), "the payload has %d bytes", len(s.Payload))
	case len(s.Steps) == 0 || len(s.Steps) > MaxSteps:
		return fault.Newf(fault.Invalid, fmt.Sprintf("send 1 to %d steps", MaxSteps), "the job has %d steps", len(s.Steps))
	case s.Occurrences < 0 || s.Occurrences > MaxOccurrences || s.Interval < 0 || s.Interval > MaxAmount || s.First < 0 || s.First > MaxTime:
		return fault.New(fault.Invalid, "the occurrences or their times are out of range",
			fmt.Sprintf("send 0 to %d occurrences, a first time of 0 to %d and an interval of 0 to %d", MaxOccurrences, int64(MaxTime), int64(MaxAmount)))
	}
	for i := range s.Steps {
		if err := s.Steps[i].validate(i); err != nil {
			return err
		}
	}
	if total := s.TaskCount(); total > MaxTasks {
		return fault.Newf(fault.TooLarge, fmt.Sprintf("send at most %d tasks", MaxTasks), "the job has %d tasks", total)
	}
	return nil
}

// TaskCount returns the number of tasks in an occurrence.
func (s *Spec) TaskCount() int {
	n := 0
	for i := range s.Steps {
		n += s.Steps[i].Tasks
	}
	return n
}

// validate checks s, which is the step at the given index of its job.
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

// Size returns about how much memory the payload and the steps take, in bytes; 0 for a
// summary.
func (s *Spec) Size() int64 {
	n := len(s.Payload)
	for i := range s.Steps {
		step := &s.Steps[i]
		n += int(unsafe.Sizeof(*step)) + len(step.After)*int(unsafe.Sizeof(i)) + len(step.Label) + len(step.DataRack) + len(step.Image)
	}
	return int64(n)
}

// Objective returns the time from submission within which the completion of the job is
// worth most.
func (s *Spec) Objective() int64 {
	return int64(s.Stretch*float64(s.CriticalPath())) + s.Slack
}

// CriticalPath returns the estimated run time of the longest chain of steps that depend
// on each other.
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

// LongRunning reports whether any task of the job runs until the job is cancelled.
func (s *Spec) LongRunning() bool {
	for i := range s.Steps {
		if s.Steps[i].LongRunning {
			return true
		}
	}
	return false
}

// Due returns the earliest start of occurrence k, in milliseconds since 1970.
func (s *Spec) Due(k int) int64 { return s.First + int64(k)*s.Interval }

// OccurrenceCount returns how many times the steps run; at least 1.
func (s *Spec) OccurrenceCount() int { return max(1, s.Occurrences) }
