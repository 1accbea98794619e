package jobstate

import (
	"strconv"

	"github.com/cockroachdb/errors"
)

// Paces has the recorded paces of workers, as encoded by estimate.Pace, by worker ID. They are kept
// in parts beside the details, so that a new coordinator does not begin without them.
type Paces map[string][2]byte

// kindPace is the first byte of the key of a part of the paces. The number of the part follows.
const kindPace = 'p'

// PaceRecord returns the record of a part of the paces.
func PaceRecord(part int, paces Paces) (Record, error) {
	return encode(kindPace, strconv.Itoa(part), paces)
}

// Apply adds a record to ps if it is of a part. A record that cannot be decoded is an error, and
// changes nothing.
func (ps Paces) Apply(r Record) error {
	if r.Key == "" || r.Key[0] != kindPace || len(r.Value) == 0 {
		return nil
	}
	var part *Paces
	if err := decode(r.Value, &part); err != nil {
		return errors.Wrapf(err, "decode the paces %q", r.Key[1:])
	}
	for id, p := range *part {
		ps[id] = p
	}
	return nil
}
