package coordinator

import (
	"hash/fnv"
	"log/slog"
	"maps"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/limpetrelay/limpetrelay/internal/scheduling/jobstate"
)

// recordDetails adds the details of an open job to a batch: in one record while that is not too
// large, and from then on without the checkpoints, of which the parts that have changed come
// first. It fails if they are too large all the same.
func (s *State) recordDetails(r *Record, j *job) error {
	if len(j.parts) == 0 {
		d, err := jobstate.DetailRecord(j.id, j.progress)
		if err != nil {
			return err
		}
		if d.Size() <= s.MaxRecordBytes {
			r.Details = append(r.Details, d)
			return nil
		}
	}
	parts, err := jobstate.PartsOf(j.id, j.progress.Occurrences, s.MaxRecordBytes)
	if err != nil {
		return err
	}
	d, err := jobstate.DetailRecord(j.id, jobstate.WithoutCheckpoints(j.progress))
	if err != nil {
		return err
	}
	if d.Size() > s.MaxRecordBytes {
		return errors.Newf("its progress takes %d bytes, and a record has %d at most", d.Size(), s.MaxRecordBytes)
	}
	for _, key := range slices.Sorted(maps.Keys(j.parts)) {
		if parts[key] == nil {
			delete(j.parts, key)
			r.Details = append(r.Details, jobstate.DropPartRecord(key))
		}
	}
	for _, key := range slices.Sorted(maps.Keys(parts)) {
		if h, ok := j.parts[key]; !ok || h != hashOf(parts[key]) {
			j.setPart(key, parts[key])
			r.Details = append(r.Details, jobstate.Record{Key: key, Value: parts[key]})
		}
	}
	r.Details = append(r.Details, d)
	return nil
}

// restoreCheckpoints passes the checkpoints of a job that are recorded in parts on to its tasks.
func (s *State) restoreCheckpoints(j *job) {
	parts := s.RecordedCheckpoints[j.id]
	delete(s.RecordedCheckpoints, j.id)
	for key, b := range parts {
		j.setPart(key, b)
	}
	if err := parts.Restore(j.progress); err != nil {
		s.log("checkpoints cannot be read", slog.String("id", j.id), slog.String("error", err.Error()))
	}
}

// setPart notes that a part of the job's checkpoints is recorded.
func (j *job) setPart(key string, b []byte) {
	if j.parts == nil {
		j.parts = make(map[string]uint64)
	}
	j.parts[key] = hashOf(b)
}

// dropParts returns the records that delete the parts of a job's checkpoints.
func (s *State) dropParts(id string) []jobstate.Record {
	keys := slices.Collect(maps.Keys(s.RecordedCheckpoints[id]))
	delete(s.RecordedCheckpoints, id)
	if j := s.jobs[id]; j != nil {
		keys = slices.AppendSeq(keys, maps.Keys(j.parts))
		j.parts = nil
	}
	slices.Sort(keys)
	rs := make([]jobstate.Record, len(keys))
	for i, key := range keys {
		rs[i] = jobstate.DropPartRecord(key)
	}
	return rs
}

// hashOf returns a hash of an encoded part.
func hashOf(b []byte) uint64 {
	h := fnv.New64a()
	h.Write(b)
	return h.Sum64()
}
