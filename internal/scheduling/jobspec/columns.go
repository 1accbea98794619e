package jobspec

import (
	"github.com/cockroachdb/errors"

	"github.com/limpetrelay/limpetrelay/wire"
)

// Occurrences has, for each occurrence that has become due, the tasks per step. An
// occurrence whose tasks are all done is nil. It is encoded by column, which keeps the
// records small since most tasks differ little.
type Occurrences [][][]Task

// columns is the encoded form of Occurrences.
type columns struct {
	_ struct{} `cbor:",toarray"`
	// Workers lists the worker lifetimes on which tasks are placed, without duplicates.
	Workers []workerLifetime
	// Occurrences has nil for an occurrence that is done.
	Occurrences [][]stepColumns
}

// workerLifetime identifies a worker process; Lifetime is its start time.
type workerLifetime struct {
	_        struct{} `cbor:",toarray"`
	Worker   string
	Lifetime int64
}

// stepColumns has the tasks of one step.
type stepColumns struct {
	_ struct{} `cbor:",toarray"`
	// Phases has a byte per task.
	Phases []byte
	// CommonRun is the most frequent run number, and OtherRuns has the run numbers of
	// the other tasks by index.
	CommonRun int
	OtherRuns map[int]int
	// WorkerIndices has the index in columns.Workers of each placed task, in the order
	// of the tasks.
	WorkerIndices []int
	// Failures and Checkpoints are by index of the task; zero values are left out.
	Failures    map[int]int
	Checkpoints map[int]string
}

// MarshalCBOR implements cbor.Marshaler.
func (o Occurrences) MarshalCBOR() ([]byte, error) {
	c := columns{Occurrences: make([][]stepColumns, len(o))}
	indices := make(map[workerLifetime]int)
	for k, steps := range o {
		if steps == nil {
			continue
		}
		c.Occurrences[k] = make([]stepColumns, len(steps))
		for i, tasks := range steps {
			c.Occurrences[k][i] = c.encodeStep(tasks, indices)
		}
	}
	return wire.Encode(&c)
}

// encodeStep returns the columns of tasks and adds their workers to c. indices maps the
// lifetimes in c.Workers to their indices.
func (c *columns) encodeStep(tasks []Task, indices map[workerLifetime]int) stepColumns {
	s := stepColumns{Phases: make([]byte, len(tasks)), CommonRun: mostCommonRun(tasks)}
	for i := range tasks {
		t := &tasks[i]
		s.Phases[i] = byte(t.Phase)
		if t.Run != s.CommonRun {
			put(&s.OtherRuns, i, t.Run)
		}
		if t.Failures != 0 {
			put(&s.Failures, i, t.Failures)
		}
		if t.Checkpoint != "" {
			put(&s.Checkpoints, i, t.Checkpoint)
		}
		if t.Phase != Placed {
			continue
		}
		l := workerLifetime{Worker: t.Worker, Lifetime: t.Lifetime}
		n, ok := indices[l]
		if !ok {
			n = len(c.Workers)
			indices[l] = n
			c.Workers = append(c.Workers, l)
		}
		s.WorkerIndices = append(s.WorkerIndices, n)
	}
	return s
}

// mostCommonRun returns the most frequent run number, and the lowest of them on a tie.
func mostCommonRun(tasks []Task) int {
	n := make(map[int]int)
	best := 0
	for i := range tasks {
		r := tasks[i].Run
		n[r]++
		if n[r] > n[best] || n[r] == n[best] && r < best {
			best = r
		}
	}
	return best
}

// put sets a value in a map, which it allocates if it is nil.
func put[V any](m *map[int]V, i int, v V) {
	if *m == nil {
		*m = make(map[int]V)
	}
	(*m)[i] = v
}

// UnmarshalCBOR implements cbor.Unmarshaler.
func (o *Occurrences) UnmarshalCBOR(b []byte) error {
	var c columns
	if err := wire.Decode(b, &c); err != nil {
		return errors.Wrap(err, "decode the progress of tasks")
	}
	*o = make(Occurrences, len(c.Occurrences))
	for k, steps := range c.Occurrences {
		if steps == nil {
			continue
		}
		(*o)[k] = make([][]Task, len(steps))
		for i := range steps {
			tasks, err := c.decodeStep(&steps[i])
			if err != nil {
				return errors.Wrapf(err, "occurrence %d, step %d", k, i)
			}
			(*o)[k][i] = tasks
		}
	}
	return nil
}

// decodeStep returns the tasks of a step. It fails if a placed task has no worker.
func (c *columns) decodeStep(s *stepColumns) ([]Task, error) {
	tasks := make([]Task, len(s.Phases))
	placed := 0
	for i := range tasks {
		t := &tasks[i]
		t.Phase, t.Run, t.Failures, t.Checkpoint = Phase(s.Phases[i]), s.CommonRun, s.Failures[i], s.Checkpoints[i]
		if r, ok := s.OtherRuns[i]; ok {
			t.Run = r
		}
		if t.Phase != Placed {
			continue
		}
		if placed >= len(s.WorkerIndices) || s.WorkerIndices[placed] < 0 || s.WorkerIndices[placed] >= len(c.Workers) {
			return nil, errors.Newf("task %d is placed, but the record has no worker for it", i)
		}
		l := &c.Workers[s.WorkerIndices[placed]]
		t.Worker, t.Lifetime = l.Worker, l.Lifetime
		placed++
	}
	return tasks, nil
}
