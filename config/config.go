package config

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/limpetrelay/limpetrelay/rack"
)

// Config is one numbered configuration.
type Config struct {
	// Version is 0 before the first patch and grows by one with each.
	Version uint64 `cbor:"v" json:"version"`
	// Organisations is keyed by name.
	Organisations map[string]Organisation `cbor:"o" json:"organisations"`
	// Classes is keyed by name. Unlisted classes have default settings.
	Classes map[string]Class `cbor:"c" json:"classes"`
	// Policy weighs the measures.
	Policy Policy `cbor:"p" json:"policy"`
	// Closed is keyed by data centre. Those that are not listed are open.
	Closed map[string]Closing `cbor:"x,omitempty" json:"closed,omitempty"`
}

// Closing says how a data centre is closed. It takes no new jobs, and its waiting
// jobs go to the first open data centre that can hold them.
type Closing struct {
	// Lost is the operator's word that nothing runs there any more and nothing
	// will be heard from there. Running jobs then go elsewhere too, or end as
	// unknown when they must not run twice.
	Lost bool `cbor:"l,omitempty" json:"lost,omitempty"`
}

// Organisation is a tenant.
type Organisation struct {
	// Guarantee is keyed by data centre.
	Guarantee map[string]rack.Shape `cbor:"g" json:"guarantee"`
	// MaxQueued bounds the organisation's waiting jobs; 0 means DefaultMaxQueued.
	MaxQueued int `cbor:"q,omitempty" json:"maxQueued,omitempty"`
}

// DefaultMaxQueued bounds the waiting jobs of an organisation.
const DefaultMaxQueued = 1000

// Class is a kind of job.
type Class struct {
	// Urgent makes every job of the class urgent.
	Urgent bool `cbor:"u,omitempty" json:"urgent,omitempty"`
	// Priority orders waiting jobs; larger goes first, 0 is the default.
	Priority int `cbor:"p,omitempty" json:"priority,omitempty"`
}

// Policy weighs completion time against fragmentation. The weights are
// relative; both zero means equal.
type Policy struct {
	CompletionWeight    float64 `cbor:"c" json:"completionWeight"`
	FragmentationWeight float64 `cbor:"f" json:"fragmentationWeight"`
	// GangAge is the wait, in milliseconds, that no gang should exceed; 0 means
	// DefaultGangAge. After a part of it cells are reserved for the oldest gang.
	GangAgeLimit int64 `cbor:"g,omitempty" json:"gangAge,omitempty"`
}

// DefaultGangAge is the default of Policy.GangAge, in milliseconds.
const DefaultGangAgeLimit = 3_600_000

// Clone returns a deep copy of c.
func (c *Config) Clone() Config {
	d := *c
	d.Organisations = make(map[string]Organisation, len(c.Organisations))
	for n, o := range c.Organisations {
		o.Guarantee = maps.Clone(o.Guarantee)
		d.Organisations[n] = o
	}
	d.Closed = maps.Clone(c.Closed)
	d.Classes = maps.Clone(c.Classes)
	if d.Classes == nil {
		d.Classes = map[string]Class{}
	}
	return d
}

// Names returns the organisations' names in order.
func (c *Config) OrganisationNames() []string {
	return slices.Sorted(maps.Keys(c.Organisations))
}

// Guaranteed returns the sum of all guarantees in data centre dc.
func (c *Config) TotalGuarantee(dc string) rack.Shape {
	var s rack.Shape
	for _, o := range c.Organisations {
		s = s.Add(o.Guarantee[dc])
	}
	return s
}

// DataCentres returns, in order, the data centres that any guarantee names.
func (c *Config) DataCentres() []string {
	set := map[string]bool{}
	for _, o := range c.Organisations {
		for dc := range o.Guarantee {
			set[dc] = true
		}
	}
	return slices.Sorted(maps.Keys(set))
}

// Equal reports whether c and d have the same content.
func (c *Config) Equal(d *Config) bool {
	a, errA := json.Marshal(c)
	b, errB := json.Marshal(d)
	return errA == nil && errB == nil && string(a) == string(b)
}
