package job

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"regexp"
	"time"

	"github.com/limpetrelay/limpetrelay/fault"
	"github.com/limpetrelay/limpetrelay/rack"
	"github.com/limpetrelay/limpetrelay/wire"
)

const (
	// MaxMembers is the largest accepted gang.
	MaxMembers = 512
	// MaxPayload is the largest accepted payload, in bytes.
	MaxPayload = 64 << 10
	// MaxName is the longest accepted name or key, in bytes.
	MaxName = 128
	// MaxRunTime is the longest accepted declared run time.
	MaxRunTime = 30 * 24 * time.Hour

	// CoresPerSlot is the number of processor cores in one slot.
	CoresPerSlot = 8
	// MemoryPerSlot is the memory in one slot, in GiB.
	MemoryPerSlot = 32
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:-]*$`)

// Spec is a job as submitted by a caller.
type Spec struct {
	// Organisation names the organisation of the job. It is never empty.
	Organisation string `cbor:"o" json:"organisation"`
	// Class names the class of the job. The jobs of a class are similar in run
	// time and urgency. It is never empty.
	Class string `cbor:"c" json:"class"`
	// Key is the request key, which makes repeating the request idempotent; empty
	// means none.
	Key string `cbor:"k,omitempty" json:"key,omitempty"`
	// AtMostOnce marks a request that must run at most once.
	AtMostOnce bool `cbor:"1,omitempty" json:"once,omitempty"`
	// Urgent jobs are placed before others and may reclaim capacity at once.
	Urgent bool `cbor:"u,omitempty" json:"urgent,omitempty"`
	// Members is the number of members of the gang; 0 means 1.
	Members int `cbor:"m,omitempty" json:"members,omitempty"`
	// Adjacency bounds the distance between members; empty means any.
	Adjacency rack.Adjacency `cbor:"a,omitempty" json:"adjacency,omitempty"`
	// Accelerators is the number of accelerators per member.
	Accelerators int `cbor:"g,omitempty" json:"accelerators,omitempty"`
	// Cores is the number of processor cores per member.
	Cores int `cbor:"p,omitempty" json:"cores,omitempty"`
	// Memory is the memory per member, in GiB.
	Memory int `cbor:"r,omitempty" json:"memory,omitempty"`
	// RunTime is the declared run time, in milliseconds; 0 means unknown.
	RunTime int64 `cbor:"t,omitempty" json:"runTime,omitempty"`
	// Payload is passed to the worker unchanged.
	Payload []byte `cbor:"b,omitempty" json:"payload,omitempty"`
}

// Validate returns an Invalid, TooLarge or Infeasible error when s is malformed.
func (s *Spec) Validate() error {
	if err := CheckName("organisation", s.Organisation); err != nil {
		return err
	}
	if err := CheckName("class", s.Class); err != nil {
		return err
	}
	if s.Key != "" {
		if err := CheckName("key", s.Key); err != nil {
			return err
		}
	}
	if len(s.Payload) > MaxPayload {
		return fault.Newf(fault.TooLarge, fmt.Sprintf("keep the payload within %d bytes", MaxPayload),
			"the payload has %d bytes", len(s.Payload))
	}
	if err := s.checkRanges(); err != nil {
		return err
	}
	need, err := s.Need()
	if err != nil {
		return err
	}
	return need.Validate()
}

// Need returns the resource request of s. It returns an Infeasible error when a
// member is larger than a worker.
func (s *Spec) Need() (rack.Need, error) {
	slots := max(1, s.Accelerators, ceilDiv(s.Cores, CoresPerSlot), ceilDiv(s.Memory, MemoryPerSlot))
	l, ok := rack.LevelFor(slots)
	if !ok {
		return rack.Need{}, fault.Newf(fault.Infeasible,
			fmt.Sprintf("request at most %d accelerators, %d cores and %d GiB per member",
				rack.SlotsPerWorker, rack.SlotsPerWorker*CoresPerSlot, rack.SlotsPerWorker*MemoryPerSlot),
			"a member needs %d slots and no worker has more than %d", slots, rack.SlotsPerWorker)
	}
	a := s.Adjacency
	if a == "" {
		a = rack.AdjacencyAny
	}
	return rack.Need{Members: max(1, s.Members), Level: l, Adjacency: a}, nil
}

// Digest returns a hash of the whole request, or an empty string when s cannot be
// encoded. It distinguishes a repeated request from a different request that
// reuses its key.
func (s *Spec) Digest() string {
	b, err := wire.Encode(s)
	if err != nil {
		return ""
	}
	h := sha256.Sum256(b)
	return hex.EncodeToString(h[:12])
}

// checkRanges returns an Invalid error when a number of s is out of range.
func (s *Spec) checkRanges() error {
	for _, c := range []struct {
		field string
		value int64
		limit int64
	}{
		{"members", int64(s.Members), MaxMembers},
		{"accelerators", int64(s.Accelerators), 1 << 20},
		{"cores", int64(s.Cores), 1 << 20},
		{"memory", int64(s.Memory), 1 << 20},
		{"runTime", s.RunTime, MaxRunTime.Milliseconds()},
	} {
		if c.value < 0 || c.value > c.limit {
			return fault.Newf(fault.Invalid, fmt.Sprintf("set it to a value from 0 to %d", c.limit), "%s is %d", c.field, c.value)
		}
	}
	return nil
}

// CheckName returns an Invalid error when v is not a valid name or key. kind is
// the kind of object that v names, for the text of the error.
func CheckName(kind, v string) error {
	if len(v) > MaxName || !namePattern.MatchString(v) {
		return fault.Newf(fault.Invalid,
			fmt.Sprintf("use 1 to %d letters, digits, dots, colons, dashes or underscores", MaxName),
			"%s %.40q is not a valid name", kind, v)
	}
	return nil
}

// ceilDiv returns a divided by b, rounded up, for a at least 0.
func ceilDiv(a, b int) int { return (a + b - 1) / b }
