package jobspec

import (
	"bytes"
	"crypto/sha256"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/limpetrelay/limpetrelay/wire"
)

// digestBytes is the length of a digest. A short one is enough: callers choose the job
// IDs, and only requests with the same ID are compared.
const digestBytes = 12

// Summary returns the part of s that is kept once the job has ended: its organisation,
// its queue, and a digest that identifies a repeated request.
func (s *Spec) Summary() (Spec, error) {
	d, err := s.digest()
	if err != nil {
		return Spec{}, err
	}
	return Spec{ID: s.ID, Route: s.Route, Organisation: s.Organisation, AcceptedAt: s.AcceptedAt, Digest: d}, nil
}

// IsSummary reports whether s is the summary of an ended job.
func (s *Spec) IsSummary() bool { return len(s.Digest) > 0 }

// SameRequest reports whether s and t are the same request. Either may be a summary.
func (s *Spec) SameRequest(t *Spec) (bool, error) {
	a, err := s.digest()
	if err != nil {
		return false, err
	}
	b, err := t.digest()
	return bytes.Equal(a, b), err
}

// digest returns the digest of the caller's request.
func (s *Spec) digest() ([]byte, error) {
	if s.IsSummary() {
		return s.Digest, nil
	}
	request := Spec{Payload: s.Payload, Steps: slices.Clone(s.Steps), Occurrences: s.Occurrences, First: s.First, Interval: s.Interval}
	for i := range request.Steps {
		if len(request.Steps[i].After) == 0 {
			// An empty list is nil after a round trip through the store.
			request.Steps[i].After = nil
		}
	}
	b, err := wire.Encode(&request)
	if err != nil {
		return nil, errors.Wrapf(err, "digest of %q", s.ID)
	}
	sum := sha256.Sum256(b)
	return sum[:digestBytes], nil
}
