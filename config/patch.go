package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"

	"github.com/limpetrelay/limpetrelay/fault"
	"github.com/limpetrelay/limpetrelay/job"
	"github.com/limpetrelay/limpetrelay/rack"
	"github.com/limpetrelay/limpetrelay/wire"
)

const (
	// MaxChanges bounds the changes in one patch.
	MaxChanges = 256
	// MaxPatch is the largest accepted patch, in bytes.
	MaxPatch = 256 << 10
	// MaxSize is the largest encoded configuration, in bytes. 22 organisations with
	// guarantees in 12 data centres, and 110 classes, take 7 KB.
	MaxSize = 1 << 20
	// maxPriority bounds Class.Priority in both directions.
	maxPriority = 100
	// maxWeight bounds each policy weight.
	maxWeight = 1e6
)

// Patch is a list of changes to one version of the configuration.
type Patch struct {
	// Base is the version that the patch was written against.
	Base uint64 `cbor:"b" json:"base"`
	// Author names the operator who wrote the patch.
	Author string `cbor:"a" json:"author"`
	// Changes has at least one element and at most MaxChanges.
	Changes []Change `cbor:"c" json:"changes"`
}

// Change is one change to the configuration. Exactly one field is set.
type Change struct {
	SetOrganisation    *NamedOrganisation `cbor:"so,omitempty" json:"setOrganisation,omitempty"`
	RemoveOrganisation string             `cbor:"ro,omitempty" json:"removeOrganisation,omitempty"`
	SetClass           *NamedClass        `cbor:"sc,omitempty" json:"setClass,omitempty"`
	RemoveClass        string             `cbor:"rc,omitempty" json:"removeClass,omitempty"`
	SetPolicy          *Policy            `cbor:"sp,omitempty" json:"setPolicy,omitempty"`
	CloseDataCentre    *NamedClosing      `cbor:"cd,omitempty" json:"closeDataCentre,omitempty"`
	OpenDataCentre     string             `cbor:"od,omitempty" json:"openDataCentre,omitempty"`
}

// NamedClosing is a closing with the data centre's name.
type NamedClosing struct {
	Name string `cbor:"n" json:"name"`
	Closing
}

// NamedOrganisation is an organisation with its name.
type NamedOrganisation struct {
	Name string `cbor:"n" json:"name"`
	Organisation
}

// NamedClass is a class with its name.
type NamedClass struct {
	Name string `cbor:"n" json:"name"`
	Class
}

// ParsePatch reads and validates a patch in JSON. It returns a TooLarge error when
// the patch exceeds MaxPatch, and an Invalid error when it is malformed, has
// unknown fields or is followed by other data.
func ParsePatch(r io.Reader) (*Patch, error) {
	b, err := io.ReadAll(io.LimitReader(r, MaxPatch+1))
	if err != nil {
		return nil, fault.Newf(fault.Invalid, "send the patch again", "cannot read the patch: %v", err)
	}
	if len(b) > MaxPatch {
		return nil, fault.Newf(fault.TooLarge, "split it into several patches", "the patch exceeds %d bytes", MaxPatch)
	}
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	var body patchBody
	if err := d.Decode(&body); err != nil {
		return nil, fault.Newf(fault.Invalid, "compare it with the examples of `limpetrelay config patch --help`",
			"malformed patch: %v", err)
	}
	if d.More() {
		return nil, fault.New(fault.Invalid, "unexpected data after the patch", "send exactly one JSON object")
	}
	p := &Patch{Base: body.Base, Author: body.Author, Changes: body.Changes}
	return p, p.Validate()
}

// patchBody is a patch while it is decoded.
type patchBody struct {
	Base    uint64     `json:"base"`
	Author  string     `json:"author"`
	Changes changeList `json:"changes"`
}

// changeList is the changes of a patch. Decoding it fails beyond MaxChanges, since a list of
// empty changes takes over 50 times its size.
type changeList []Change

// UnmarshalJSON implements json.Unmarshaler.
func (l *changeList) UnmarshalJSON(b []byte) (err error) {
	*l, err = wire.DecodeList[Change](b, MaxChanges, true)
	return err
}

// Size returns the size of the encoded patch, in bytes; 0 if it cannot be encoded.
func (p *Patch) Size() int64 {
	return encodedSize(p)
}

func encodedSize(v any) int64 {
	b, err := wire.Encode(v)
	if err != nil {
		return 0
	}
	return int64(len(b))
}

// Validate returns an Invalid error when p is malformed regardless of the
// configuration that it is applied to.
func (p *Patch) Validate() error {
	if err := job.CheckName("author", p.Author); err != nil {
		return err
	}
	if len(p.Changes) == 0 || len(p.Changes) > MaxChanges {
		return fault.Newf(fault.Invalid, fmt.Sprintf("send 1 to %d changes", MaxChanges), "the patch has %d changes", len(p.Changes))
	}
	for i := range p.Changes {
		if err := p.Changes[i].validate(); err != nil {
			e := fault.As(err)
			return fault.Newf(e.Kind, e.Remedy, "change %d: %s", i+1, e.Message)
		}
	}
	return nil
}

// Apply returns the next version of the configuration, with the changes of p. It
// returns a Conflict error when p was written against another version than c, an
// error of Validate when p is malformed, a TooLarge error when the configuration would
// exceed MaxSize, and a NotFound error when p removes an organisation or class that does
// not exist or opens a data centre that is not closed. It never changes c.
func (c *Config) Apply(p *Patch) (Config, error) {
	if p.Base != c.Version {
		return Config{}, fault.Newf(fault.Conflict,
			fmt.Sprintf("review version %d and write the patch against it", c.Version),
			"the patch is against version %d and the current version is %d", p.Base, c.Version)
	}
	if err := p.Validate(); err != nil {
		return Config{}, err
	}
	d := c.Clone()
	for i := range p.Changes {
		if err := d.applyChange(&p.Changes[i]); err != nil {
			return Config{}, err
		}
	}
	d.Version++
	if n := encodedSize(&d); n > MaxSize && n > encodedSize(c) {
		return Config{}, fault.Newf(fault.TooLarge, "remove organisations or classes that are not used", "the configuration would exceed %d bytes", MaxSize)
	}
	return d, nil
}

// validate checks that exactly one field of ch is set, and checks its value.
func (ch *Change) validate() error {
	set := 0
	for _, present := range []bool{
		ch.SetOrganisation != nil, ch.RemoveOrganisation != "",
		ch.SetClass != nil, ch.RemoveClass != "", ch.SetPolicy != nil,
		ch.CloseDataCentre != nil, ch.OpenDataCentre != "",
	} {
		if present {
			set++
		}
	}
	if set != 1 {
		return fault.Newf(fault.Invalid, "set exactly one field per change", "%d fields are set", set)
	}
	switch {
	case ch.SetOrganisation != nil:
		return ch.SetOrganisation.validate()
	case ch.SetClass != nil:
		return ch.SetClass.validate()
	case ch.SetPolicy != nil:
		return ch.SetPolicy.validate()
	case ch.CloseDataCentre != nil:
		return job.CheckName("data centre", ch.CloseDataCentre.Name)
	}
	return nil
}

// validate checks the name and every guaranteed shape.
func (o *NamedOrganisation) validate() error {
	if err := job.CheckName("organisation", o.Name); err != nil {
		return err
	}
	if o.MaxQueued < 0 {
		return fault.Newf(fault.Invalid, "set maxQueued to 0 or more", "maxQueued is %d", o.MaxQueued)
	}
	for _, dc := range slices.Sorted(maps.Keys(o.Guarantee)) {
		if err := job.CheckName("data centre", dc); err != nil {
			return err
		}
		if err := o.Guarantee[dc].Validate(); err != nil {
			return err
		}
	}
	return nil
}

// validate checks the name and the priority.
func (cl *NamedClass) validate() error {
	if cl.Priority < -maxPriority || cl.Priority > maxPriority {
		return fault.Newf(fault.Invalid, fmt.Sprintf("set the priority to a value from -%d to %d", maxPriority, maxPriority),
			"the priority is %d", cl.Priority)
	}
	return job.CheckName("class", cl.Name)
}

// validate checks the weights and the age limit of gangs.
func (p *Policy) validate() error {
	for _, weight := range []float64{p.CompletionWeight, p.FragmentationWeight} {
		if !(weight >= 0 && weight <= maxWeight) {
			return fault.Newf(fault.Invalid, fmt.Sprintf("set each weight to a value from 0 to %g", float64(maxWeight)), "a policy weight is %g", weight)
		}
	}
	if p.GangAgeLimit < 0 || p.GangAgeLimit > job.MaxRunTime.Milliseconds() {
		return fault.Newf(fault.Invalid, "set gangAge to a duration in milliseconds of at most 30 days", "gangAge is %d", p.GangAgeLimit)
	}
	return nil
}

// applyChange applies the validated change ch to c in place. c.Classes must not be
// nil.
func (c *Config) applyChange(ch *Change) error {
	if c.Organisations == nil {
		c.Organisations = map[string]Organisation{}
	}
	switch {
	case ch.SetOrganisation != nil:
		o := ch.SetOrganisation.Organisation
		o.Guarantee = withoutEmptyShapes(o.Guarantee)
		c.Organisations[ch.SetOrganisation.Name] = o
	case ch.RemoveOrganisation != "":
		if _, ok := c.Organisations[ch.RemoveOrganisation]; !ok {
			return fault.Newf(fault.NotFound, "see `limpetrelay config show`", "there is no organisation %q", ch.RemoveOrganisation)
		}
		delete(c.Organisations, ch.RemoveOrganisation)
	case ch.SetClass != nil:
		c.Classes[ch.SetClass.Name] = ch.SetClass.Class
	case ch.RemoveClass != "":
		if _, ok := c.Classes[ch.RemoveClass]; !ok {
			return fault.Newf(fault.NotFound, "see `limpetrelay config show`", "there is no class %q", ch.RemoveClass)
		}
		delete(c.Classes, ch.RemoveClass)
	case ch.SetPolicy != nil:
		c.Policy = *ch.SetPolicy
	case ch.CloseDataCentre != nil:
		if c.Closed == nil {
			c.Closed = map[string]Closing{}
		}
		c.Closed[ch.CloseDataCentre.Name] = ch.CloseDataCentre.Closing
	case ch.OpenDataCentre != "":
		if _, ok := c.Closed[ch.OpenDataCentre]; !ok {
			return fault.Newf(fault.NotFound, "see `limpetrelay config show`", "data centre %q is not closed", ch.OpenDataCentre)
		}
		delete(c.Closed, ch.OpenDataCentre)
	}
	return nil
}

// withoutEmptyShapes returns a copy of g without empty shapes.
func withoutEmptyShapes(g map[string]rack.Shape) map[string]rack.Shape {
	h := map[string]rack.Shape{}
	for dc, s := range g {
		if !s.IsZero() {
			h[dc] = s
		}
	}
	return h
}
