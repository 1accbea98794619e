package configcheck

import (
	"fmt"
	"strings"

	"github.com/limpetrelay/limpetrelay/internal/scheduling/jobspec"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/queueconfig"
)

// Options has what the checks need to know beyond the configuration.
type Options struct {
	// Accelerators is the number of accelerators that can be guaranteed; 0 if unknown.
	Accelerators int64
}

// maxRecordBytes is the largest record that the store accepts by default, in bytes.
const maxRecordBytes = 256 << 10

// checker collects the findings about one version.
type checker struct {
	*queueconfig.Document
	conf     *queueconfig.Configuration
	findings []Finding
}

// Check returns the errors and warnings about d, in the order of its entries.
func Check(d *queueconfig.Document, o Options) []Finding {
	c := &checker{Document: d, conf: d.Configuration()}
	c.checkNames()
	c.checkRoutes()
	c.checkServices()
	c.checkKeys()
	c.checkLimits()
	c.checkGuarantees(o.Accelerators)
	return c.findings
}

func (c *checker) addf(s Severity, p Place, remedy, format string, args ...any) {
	c.findings = append(c.findings, Finding{Severity: s, Place: p, Message: fmt.Sprintf(format, args...), Remedy: remedy})
}

// checkNames reports names that are missing or used twice.
func (c *checker) checkNames() {
	check := func(k Kind, n int, name func(int) string) {
		first := make(map[string]int, n)
		for i := range n {
			p := Place{Kind: k, Index: i, Field: Name}
			s := name(i)
			if j, ok := first[s]; ok {
				c.addf(Error, p, "rename or remove one of them", "the name %s is also that of %s %d; only the last one counts", quote(s), k, j)
				continue
			}
			first[s] = i
			if s == "" {
				c.addf(Warning, p, "give it a name", "the %s has no name", k)
			}
		}
	}
	check(RouteEntry, len(c.Routes), func(i int) string { return c.Routes[i].Name })
	check(ServiceEntry, len(c.Services), func(i int) string { return c.Services[i].Name })
	check(OrganisationEntry, len(c.Organisations), func(i int) string { return c.Organisations[i].Name })
}

func (c *checker) checkServices() {
	users := make(map[string]int, len(c.Services))
	for i := range c.Routes {
		users[c.Routes[i].Service]++
	}
	for i := range c.Services {
		s := &c.Services[i]
		switch n := users[s.Name]; {
		case n == 0 && !s.Spare:
			c.addf(Warning, Place{Kind: ServiceEntry, Index: i}, "remove it, mark it as spare, or send a route to it", "no route uses the service")
		case n > 0 && s.Spare:
			c.addf(Warning, Place{Kind: ServiceEntry, Index: i, Field: Spare}, "switch the service on, or send the routes elsewhere",
				"the service is spare, but %d of the routes use it", n)
		}
	}
}

// checkKeys reports organisations without keys, keys that are given twice and keys that no
// request can carry.
func (c *checker) checkKeys() {
	first := make(map[string]int)
	for i := range c.Organisations {
		o := &c.Organisations[i]
		if len(o.Keys) == 0 {
			c.addf(Warning, Place{Kind: OrganisationEntry, Index: i}, "give it a key, or remove it", "the organisation has no key, so that no request belongs to it")
		}
		for n, k := range o.Keys {
			p := Place{Kind: OrganisationEntry, Index: i, Field: Key, KeyIndex: n}
			switch j, ok := first[k]; {
			case ok && j != i:
				c.addf(Error, p, "give each organisation keys of its own", "the key %s is also a key of %s; only the last one counts",
					maskKey(k), quote(c.Organisations[j].Name))
			case ok:
				c.addf(Warning, p, "remove one of them", "the key %s is given twice", maskKey(k))
			case k != "" && !fitsHeader(k):
				c.addf(Warning, p, "use printable characters and no spaces at the ends", "no request can carry the key %s", maskKey(k))
			}
			first[k] = i
		}
	}
}

// fitsHeader reports whether s arrives unchanged as the value of a header.
func fitsHeader(s string) bool {
	return strings.Trim(s, " \t") == s && !strings.ContainsFunc(s, func(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f })
}

func (c *checker) checkLimits() {
	l := &c.Limits
	body := Place{Kind: LimitsEntry, Field: BodyBytes}
	switch {
	case l.BodyBytes > 0 && l.BodyBytes < jobspec.MaxPayload:
		c.addf(Warning, body, fmt.Sprintf("allow at least %d bytes and the rest of the job", jobspec.MaxPayload),
			"the body limit of %d bytes refuses jobs whose payload of up to %d bytes is allowed", l.BodyBytes, jobspec.MaxPayload)
	case l.BodyBytes > maxRecordBytes:
		c.addf(Warning, body, fmt.Sprintf("allow at most %d bytes", maxRecordBytes),
			"the body limit of %d bytes is above the %d bytes that the store accepts for a record", l.BodyBytes, maxRecordBytes)
	}
	if l.IdleTimeout > 0 && l.HeaderTimeout > l.IdleTimeout {
		c.addf(Warning, Place{Kind: LimitsEntry, Field: HeaderTimeout}, "lower the header timeout, or raise the idle timeout",
			"the header timeout of %d ms is above the idle timeout of %d ms", l.HeaderTimeout, l.IdleTimeout)
	}
}

// checkGuarantees reports guarantees that exceed the given number of accelerators. It
// counts organisations of the same name once, as the hosts do.
func (c *checker) checkGuarantees(accelerators int64) {
	var sum int64
	for _, o := range c.conf.Organisations {
		sum += o.Guaranteed
	}
	if accelerators > 0 && sum > accelerators {
		c.addf(Warning, Place{Kind: OrganisationsEntry}, "lower the guarantees, or add accelerators",
			"the guarantees of all organisations together are %d accelerators, of which there are %d", sum, accelerators)
	}
}
