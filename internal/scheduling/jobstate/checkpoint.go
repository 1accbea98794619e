package jobstate

import (
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/limpetrelay/limpetrelay/internal/scheduling/jobspec"
)

// Checkpoints has the checkpoints that are recorded beside the details, in parts by key, by job
// ID. A job has some if its details would be too large for a record with them.
type Checkpoints map[string]CheckpointParts

// CheckpointParts has the encoded parts of a job's checkpoints by key. Each has those of some
// tasks of one step.
type CheckpointParts map[string][]byte

// kindCheckpoints is the first byte of the key of a part. The occurrence, the step, the number of
// the part and, after a colon, the job's ID follow.
const kindCheckpoints = 'k'

// rowOverhead bounds what a checkpoint takes in a part beside its own bytes, and partOverhead
// what a part takes beside its checkpoints, its key included, in bytes.
const (
	rowOverhead  = 16
	partOverhead = 400
)

// PartsOf returns the parts of the checkpoints of a job's tasks. No record of a part exceeds
// maxRecord bytes. It fails if that is too little for one checkpoint.
func PartsOf(id string, o jobspec.Occurrences, maxRecord int) (CheckpointParts, error) {
	size := (maxRecord - partOverhead) / (jobspec.MaxCheckpointBytes + rowOverhead)
	if size < 1 {
		return nil, errors.Newf("a record of %d bytes cannot hold a checkpoint of %d bytes", maxRecord, jobspec.MaxCheckpointBytes)
	}
	parts := make(CheckpointParts)
	for k, steps := range o {
		for step, tasks := range steps {
			for first := 0; first < len(tasks); first += size {
				values := make(map[int]string)
				for i := first; i < min(first+size, len(tasks)); i++ {
					if c := tasks[i].Checkpoint; c != "" {
						values[i] = c
					}
				}
				if len(values) == 0 {
					continue
				}
				r, err := encode(kindCheckpoints, fmt.Sprintf("%d.%d.%d:%s", k, step, first/size, id), values)
				if err != nil {
					return nil, err
				}
				parts[r.Key] = r.Value
			}
		}
	}
	return parts, nil
}

// DropPartRecord returns the record that deletes a part.
func DropPartRecord(key string) Record { return Record{Key: key} }

// Apply adds a record to c if it is a part.
func (c Checkpoints) Apply(r Record) {
	_, id, ok := strings.Cut(r.Key, ":")
	switch {
	case !ok || r.Key[0] != kindCheckpoints:
	case len(r.Value) == 0:
		delete(c[id], r.Key)
	default:
		if c[id] == nil {
			c[id] = make(CheckpointParts)
		}
		c[id][r.Key] = r.Value
	}
}

// Restore sets the recorded checkpoints of the tasks of p that are not done and have none. A task
// whose part cannot be read starts from its beginning.
func (c CheckpointParts) Restore(p *jobspec.Progress) error {
	var errs error
	for key, b := range c {
		var k, step, part int
		var values *map[int]string
		_, err := fmt.Sscanf(key[1:], "%d.%d.%d:", &k, &step, &part)
		if err == nil {
			err = decode(b, &values)
		}
		if err != nil {
			errs = errors.CombineErrors(errs, errors.Wrapf(err, "decode the checkpoints %.100q", key))
			continue
		}
		if k < 0 || k >= len(p.Occurrences) || step < 0 || step >= len(p.Occurrences[k]) || values == nil {
			continue
		}
		tasks := p.Occurrences[k][step]
		for i, v := range *values {
			if i >= 0 && i < len(tasks) && tasks[i].Phase != jobspec.Done && tasks[i].Checkpoint == "" {
				tasks[i].Checkpoint = v
			}
		}
	}
	return errs
}

// WithoutCheckpoints returns the details of a job whose checkpoints are recorded in parts.
func WithoutCheckpoints(p *jobspec.Progress) *jobspec.Progress {
	q := p.Clone()
	for _, steps := range q.Occurrences {
		for _, tasks := range steps {
			for i := range tasks {
				tasks[i].Checkpoint = ""
			}
		}
	}
	return q
}
