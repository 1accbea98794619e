package configcheck_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/limpetrelay/limpetrelay/internal/scheduling/queueconfig"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/queueconfig/configcheck"
)

// document returns a version without findings.
func document() *queueconfig.Document {
	return &queueconfig.Document{
		Version: 7,
		Limits:  queueconfig.Limits{HeaderBytes: 16_384, BodyBytes: 65_536, HeaderTimeout: 3000, IdleTimeout: 15_000},
		Routes: []queueconfig.Route{
			{Name: "plan", Host: "a.example", Prefix: "/plan/", Service: "s", MaxAttempts: 1, Stretch: 3, Timeout: 3000},
			{Name: "urgent", Host: "a.example", Prefix: "/plan/urgent/", Service: "s", MaxAttempts: 1, Slack: 500},
		},
		Services: []queueconfig.Service{{Name: "s"}, {Name: "off", Spare: true}},
		Organisations: []queueconfig.KeyedOrganisation{
			{Organisation: queueconfig.Organisation{Name: "crew", Guaranteed: 12}, Keys: []string{"crew-key-1", "crew-key-2"}},
			{Organisation: queueconfig.Organisation{Name: "desk", Guaranteed: 4}, Keys: []string{"desk-key-1"}},
		},
	}
}

// summary formats what decides about a finding: severity, place and the first words.
func summary(f configcheck.Finding) string {
	return fmt.Sprintf("%s %s %d %s", f.Severity, f.Kind, f.Index, f.Field)
}

// Guards against a fault of a configuration that is not reported, is reported at another
// place, or comes with findings that it does not cause.
func TestCheck(t *testing.T) {
	for _, c := range []struct {
		change func(*queueconfig.Document)
		want   []string
	}{
		{func(*queueconfig.Document) {}, nil},
		{func(d *queueconfig.Document) { d.Routes[1].Name = "plan" }, []string{"error route 1 name"}},
		{func(d *queueconfig.Document) { d.Routes[1].Name, d.Routes[0].Host = "plan", "b.example" }, []string{"error route 1 name"}},
		{func(d *queueconfig.Document) { d.Routes[1].Name = "" }, []string{"warning route 1 name"}},
		{func(d *queueconfig.Document) { d.Services[1].Name = "s" }, []string{"error service 1 name", "warning service 1 spare setting"}},
		{func(d *queueconfig.Document) { d.Organisations[1].Name = "crew" }, []string{"error organisation 1 name"}},
		{func(d *queueconfig.Document) { d.Routes[1].Prefix = "/plan/" }, []string{"error route 1 path prefix"}},
		{func(d *queueconfig.Document) { d.Routes[1].Prefix = "/plan" }, []string{"error route 1 path prefix"}},
		{func(d *queueconfig.Document) { d.Routes[1].Prefix = "" }, []string{"error route 1 path prefix"}},
		{func(d *queueconfig.Document) { d.Routes[1].Prefix = "/a/../b/" }, []string{"warning route 1 path prefix"}},
		{func(d *queueconfig.Document) { d.Routes[1].Prefix = "/a%20b/" }, []string{"warning route 1 path prefix"}},
		{func(d *queueconfig.Document) { d.Routes[1].Service = "t" }, []string{"error route 1 service"}},
		{func(d *queueconfig.Document) { d.Routes[1].Service = "off" }, []string{"warning service 1 spare setting"}},
		{func(d *queueconfig.Document) { d.Services[1].Spare = false }, []string{"warning service 1 "}},
		{func(d *queueconfig.Document) { d.Routes[1].Host = "" }, []string{"warning route 1 host"}},
		{func(d *queueconfig.Document) { d.Routes[1].Host = "a.example:80" }, []string{"warning route 1 host"}},
		{func(d *queueconfig.Document) { d.Routes[1].Host = "[::1]" }, []string{"warning route 1 host"}},
		{func(d *queueconfig.Document) { d.Routes[1].Host = "A.example" }, []string{"warning route 1 host"}},
		{func(d *queueconfig.Document) { d.Routes[1].Host = "http//a" }, []string{"warning route 1 host"}},
		{func(d *queueconfig.Document) { d.Routes[1].Host = "é.example" }, []string{"warning route 1 host"}},
		{func(d *queueconfig.Document) { d.Routes[1].Host = "10.0.0.5" }, nil},
		{func(d *queueconfig.Document) { d.Routes[0].Stretch = 0.9 }, []string{"warning route 0 stretch"}},
		{func(d *queueconfig.Document) { d.Routes[0].Timeout = 15_001 }, []string{"warning route 0 timeout"}},
		{func(d *queueconfig.Document) { d.Organisations[1].Keys = nil }, []string{"warning organisation 1 "}},
		{func(d *queueconfig.Document) { d.Organisations[1].Keys[0] = "crew-key-2" }, []string{"error organisation 1 key"}},
		{func(d *queueconfig.Document) { d.Organisations[0].Keys[1] = "crew-key-1" }, []string{"warning organisation 0 key"}},
		{func(d *queueconfig.Document) { d.Organisations[1].Keys[0] = " key" }, []string{"warning organisation 1 key"}},
		{func(d *queueconfig.Document) { d.Organisations[1].Guaranteed = 5 }, []string{"warning organisations 0 "}},
		{func(d *queueconfig.Document) { d.Limits.BodyBytes = 3999 }, []string{"warning limits 0 body limit"}},
		{func(d *queueconfig.Document) { d.Limits.BodyBytes = 262_145 }, []string{"warning limits 0 body limit"}},
		{func(d *queueconfig.Document) { d.Limits.HeaderTimeout = 15_001 }, []string{"warning limits 0 header timeout"}},
		{func(d *queueconfig.Document) { d.Limits = queueconfig.Limits{} }, nil},
	} {
		d := document()
		c.change(d)
		var got []string
		for _, f := range configcheck.Check(d, configcheck.Options{Accelerators: 16}) {
			got = append(got, summary(f))
			assert.NotEmpty(t, f.Remedy, f.Message)
			assert.NotContains(t, f.Message+f.Remedy, "-key-", "no whole key")
		}
		assert.Equal(t, c.want, got)
	}
}

// Guards against a difference that is not reported, or is reported for entries that are the
// same in another order.
func TestCompare(t *testing.T) {
	d := document()
	d.Version = 8
	d.Routes[0], d.Routes[1] = d.Routes[1], d.Routes[0]
	assert.Empty(t, configcheck.Compare(document(), d))
	d.Version = 7
	d.Routes[0] = queueconfig.Route{Name: "new"}
	d.Routes[1].Slack = 250
	d.Services = d.Services[:1]
	d.Organisations[0].Keys, d.Organisations[1].Keys = []string{"desk-key-1"}, []string{"crew-key-2", "next-key-1"}
	d.Limits.BodyBytes = 0
	var got []string
	for _, f := range configcheck.Compare(document(), d) {
		got = append(got, fmt.Sprintf("%s: %s %t", summary(f), f.Message, f.Current))
	}
	assert.Equal(t, []string{
		"error  0 version: the version 7 is not above the version in force, 7, so that hosts ignore it false",
		`change route 0 : the route "new" is added false`,
		"change route 1 slack: the slack changes from 0 ms to 250 ms false",
		`change route 1 : the route "urgent" is removed true`,
		`change service 1 : the service "off" is removed true`,
		`change organisation 0 key: the organisation of the key "desk..." changes from "desk" to "crew" false`,
		`change organisation 1 key: the organisation of the key "crew..." changes from "crew" to "desk" false`,
		`change organisation 1 key: the key "next..." of "desk" is added false`,
		`change organisation 0 key: the key "crew..." of "crew" is removed true`,
		"change limits 0 body limit: the body limit changes from 65536 bytes to none false",
	}, got)
}
