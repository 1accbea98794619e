package jobstate

import (
	"github.com/cockroachdb/errors"

	"github.com/limpetrelay/limpetrelay/internal/scheduling/jobspec"
)

// Details has the progress of open jobs with that of their tasks, by ID. It is kept in a
// partition of its own, which only a host that takes the coordinator's role reads: what
// the others read must not grow with the number of tasks.
type Details map[string]*jobspec.Progress

// fenceKey is the key of the record by which a coordinator fences the partition.
const fenceKey = "f"

// kindDetail is the first byte of the key of a job's details.
const kindDetail = 't'

// Fence returns the record that a coordinator writes before it reads the details.
func FenceRecord(c *Claim) (Record, error) {
	r, err := encode(kindClaim, "", c)
	r.Key = fenceKey
	return r, err
}

// Detail returns the record of a job's progress with its tasks.
func DetailRecord(id string, p *jobspec.Progress) (Record, error) { return encode(kindDetail, id, p) }

// DropDetail returns the record that drops the details of a job.
func DropDetailRecord(id string) Record { return Record{Key: string(kindDetail) + id} }

// Apply takes a record. The records come in any order, each key once.
func (d Details) Apply(r Record) error {
	switch {
	case r.Key == fenceKey || len(r.Value) == 0:
		return nil
	case r.Key == "" || r.Key[0] != kindDetail:
		return errors.Newf("a record with the key %q has no details", r.Key)
	}
	var p *jobspec.Progress
	if err := decode(r.Value, &p); err != nil {
		return errors.Wrapf(err, "details of %q", r.Key[1:])
	}
	d[r.Key[1:]] = p
	return nil
}
