package jobspec

import (
	"bytes"
	"crypto/sha256"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/limpetrelay/limpetrelay/wire"
)

// digestBytes is the length of a digest; callers choose the IDs, so that two requests
// are only compared when they have the same one.
const digestBytes = 12

// Outline returns what is kept of the job once it has ended: whose it is, its queue,
// and a digest by which a repeat of the request is known.
func (s *Spec) Summary() (Spec, error) {
	d, err := s.digest()
	if err != nil {
		return Spec{}, err
	}
	return Spec{ID: s.ID, Route: s.Route, Organisation: s.Organisation, AcceptedAt: s.AcceptedAt, Digest: d}, nil
}

// IsOutline reports whether s is the outline of an ended job.
func (s *Spec) IsSummary() bool { return len(s.Digest) > 0 }

// Same reports whether s and t are the same request. Either may be an outline.
func (s *Spec) SameRequest(t *Spec) (bool, error) {
	a, err := s.digest()
	if err != nil {
		return false, err
	}
	b, err := t.digest()
	return bytes.Equal(a, b), err
}

// digest returns the digest of what the caller asked for.
func (s *Spec) digest() ([]byte, error) {
	if s.IsSummary() {
		return s.Digest, nil
	}
	request := Spec{Payload: s.Payload, Steps: slices.Clone(s.Steps), Occurrences: s.Occurrences, First: s.First, Interval: s.Interval}
	for i := range request.Steps {
		if len(request.Steps[i].After) == 0 {
			// An empty list becomes nil on its way through the store.
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
