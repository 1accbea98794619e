package config

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/limpetrelay/limpetrelay/rack"
)

// Config is one version of the configuration.
type Config struct {
	// Version is 0 before the first patch and increases by one with each patch.
	Version uint64 `cbor:"v" json:"version"`
	// Organisations is keyed by name.
	Organisations map[string]Organisation `cbor:"o" json:"organisations"`
	// Classes is keyed by name. Classes that are not listed have default settings.
	Classes map[string]Class `cbor:"c" json:"classes"`
	// Policy weighs completion time against fragmentation and bounds the wait of
	// gangs.
	Policy Policy `cbor:"p" json:"policy"`
	// Closed is keyed by data centre. Data centres that are not listed are open.
	Closed map[string]Closing `cbor:"x,omitempty" json:"closed,omitempty"`
}

// Closing describes how a data centre is closed. A closed data centre accepts no
// new jobs, and its queued jobs move to the first open data centre, by name, that
// can hold them.
type Closing struct {
	// Lost is the operator's assertion that nothing runs in the data centre any
	// more and that it will send no more reports. Its placed jobs then move to
	// other data centres too, or end as unknown when they must not run twice.
	Lost bool `cbor:"l,omitempty" json:"lost,omitempty"`
}

// Organisation holds the settings of an organisation.
type Organisation struct {
	// Guarantee is keyed by data centre.
	Guarantee map[string]rack.Shape `cbor:"g" json:"guarantee"`
	// MaxQueued bounds the organisation's queued jobs; 0 means DefaultMaxQueued.
	MaxQueued int `cbor:"q,omitempty" json:"maxQueued,omitempty"`
}

// DefaultMaxQueued is the default of Organisation.MaxQueued.
const DefaultMaxQueued = 1000

// Class holds the settings of a class of jobs.
type Class struct {
	// Urgent makes every job of the class urgent.
	Urgent bool `cbor:"u,omitempty" json:"urgent,omitempty"`
	// Priority orders queued jobs; larger values go first, 0 is the default.
	Priority int `cbor:"p,omitempty" json:"priority,omitempty"`
}

// Policy weighs completion time against fragmentation and bounds the wait of
// gangs. The weights are relative; both zero means equal.
type Policy struct {
	CompletionWeight    float64 `cbor:"c" json:"completionWeight"`
	FragmentationWeight float64 `cbor:"f" json:"fragmentationWeight"`
	// GangAgeLimit is the wait that no gang should exceed, in milliseconds; 0 means
	// DefaultGangAgeLimit. After a share of it, cells are reserved for the oldest
	// gang.
	GangAgeLimit int64 `cbor:"g,omitempty" json:"gangAge,omitempty"`
}

// DefaultGangAgeLimit is the default of Policy.GangAgeLimit, in milliseconds.
const DefaultGangAgeLimit = 3_600_000

// Clone returns a deep copy of c. Organisations and Classes are not nil in the copy.
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

// OrganisationNames returns the sorted names of the organisations.
func (c *Config) OrganisationNames() []string {
	return slices.Sorted(maps.Keys(c.Organisations))
}

// TotalGuarantee returns the sum of all guarantees in data centre dc.
func (c *Config) TotalGuarantee(dc string) rack.Shape {
	var s rack.Shape
	for _, o := range c.Organisations {
		s = s.Add(o.Guarantee[dc])
	}
	return s
}

// DataCentres returns the sorted names of the data centres for which an
// organisation has a guarantee.
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
