package configcheck

import (
	"fmt"
	"strconv"

	"github.com/limpetrelay/limpetrelay/internal/scheduling/queueconfig"
)

// attribute is a field and its value as text.
type attribute struct {
	field Field
	value string
}

// entry is an entry of a document with its attributes in a fixed order.
type entry struct {
	place      Place
	name       string
	attributes []attribute
}

// Compare returns how next differs from the version in force. It returns an Error if next
// would not replace that version.
func Compare(current, next *queueconfig.Document) []Finding {
	var out []Finding
	if next.Version <= current.Version {
		out = append(out, Finding{
			Severity: Error, Place: Place{Field: Version}, Message: fmt.Sprintf(
				"the version %d is not above the version in force, %d, so that hosts ignore it", next.Version, current.Version),
			Remedy: fmt.Sprintf("set it to %d or more", current.Version+1),
		})
	}
	for _, list := range []func(*queueconfig.Document) []entry{routes, services, organisations, keys, limits} {
		out = append(out, compareEntries(list(current), list(next))...)
	}
	return out
}

// compareEntries reports added, changed and removed entries. Of entries with the same name,
// the last one counts.
func compareEntries(current, next []entry) []Finding {
	var out []Finding
	change := func(p Place, format string, args ...any) {
		out = append(out, Finding{Severity: Change, Place: p, Message: fmt.Sprintf(format, args...)})
	}
	was, is := byName(current), byName(next)
	for i := range next {
		e := &next[i]
		switch old, ok := was[e.name]; {
		case is[e.name] != e:
		case !ok:
			change(e.place, "%s is added", e)
		default:
			for n, a := range e.attributes {
				if before := old.attributes[n].value; before != a.value {
					p := e.place
					p.Field = a.field
					change(p, "%s changes from %s to %s", e.describe(a.field), before, a.value)
				}
			}
		}
	}
	for i := range current {
		e := &current[i]
		if is[e.name] == nil && was[e.name] == e {
			p := e.place
			p.Current = true
			change(p, "%s is removed", e)
		}
	}
	return out
}

// String names the entry in messages.
func (e *entry) String() string {
	if e.place.Field == Key {
		return fmt.Sprintf("the key %s of %s", maskKey(e.name), e.attributes[0].value)
	}
	return fmt.Sprintf("the %s %s", e.place.Kind, quote(e.name))
}

// describe names a field of the entry in messages.
func (e *entry) describe(f Field) string {
	if f == Key {
		return fmt.Sprintf("the organisation of the key %s", maskKey(e.name))
	}
	return fmt.Sprintf("the %s", f)
}

func byName(entries []entry) map[string]*entry {
	m := make(map[string]*entry, len(entries))
	for i := range entries {
		m[entries[i].name] = &entries[i]
	}
	return m
}

func number(n int64) string { return strconv.FormatInt(n, 10) }

// bound formats an upper bound, of which 0 means that there is none.
func bound(n int64, unit string) string {
	if n == 0 {
		return "none"
	}
	return number(n) + " " + unit
}

func routes(d *queueconfig.Document) []entry {
	out := make([]entry, len(d.Routes))
	for i := range d.Routes {
		r := &d.Routes[i]
		out[i] = entry{place: Place{Kind: RouteEntry, Index: i}, name: r.Name, attributes: []attribute{
			{Host, quote(r.Host)}, {Prefix, quote(r.Prefix)}, {Service, quote(r.Service)}, {Priority, number(int64(r.Priority))},
			{MaxAttempts, number(int64(r.MaxAttempts))}, {Stretch, strconv.FormatFloat(r.Stretch, 'g', -1, 64)}, {Slack, number(r.Slack) + " ms"},
			{Timeout, bound(r.Timeout, "ms")}, {Public, strconv.FormatBool(r.Public)}, {RequiresAdvice, strconv.FormatBool(r.RequiresAdvice)},
		}}
	}
	return out
}

func services(d *queueconfig.Document) []entry {
	out := make([]entry, len(d.Services))
	for i := range d.Services {
		s := &d.Services[i]
		out[i] = entry{place: Place{Kind: ServiceEntry, Index: i}, name: s.Name, attributes: []attribute{
			{HealthPath, quote(s.HealthPath)}, {RejectsOverload, strconv.FormatBool(s.RejectsOverload)}, {Spare, strconv.FormatBool(s.Spare)},
		}}
	}
	return out
}

func organisations(d *queueconfig.Document) []entry {
	out := make([]entry, len(d.Organisations))
	for i := range d.Organisations {
		o := &d.Organisations[i]
		out[i] = entry{
			place: Place{Kind: OrganisationEntry, Index: i}, name: o.Name,
			attributes: []attribute{{Guaranteed, number(o.Guaranteed) + " accelerators"}},
		}
	}
	return out
}

// keys returns an entry for each key. Its attribute is the name of the organisation.
func keys(d *queueconfig.Document) []entry {
	var out []entry
	for i := range d.Organisations {
		o := &d.Organisations[i]
		for n, k := range o.Keys {
			out = append(out, entry{
				place: Place{Kind: OrganisationEntry, Index: i, Field: Key, KeyIndex: n}, name: k, attributes: []attribute{{Key, quote(o.Name)}},
			})
		}
	}
	return out
}

func limits(d *queueconfig.Document) []entry {
	l := &d.Limits
	return []entry{{place: Place{Kind: LimitsEntry}, attributes: []attribute{
		{HeaderBytes, bound(int64(l.HeaderBytes), "bytes")}, {BodyBytes, bound(int64(l.BodyBytes), "bytes")},
		{HeaderTimeout, bound(l.HeaderTimeout, "ms")}, {IdleTimeout, bound(l.IdleTimeout, "ms")},
	}}}
}
