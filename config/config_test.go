package config_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/limpetrelay/limpetrelay/config"
	"github.com/limpetrelay/limpetrelay/fault"
)

func TestParsePatch(t *testing.T) {
	for _, c := range []struct {
		name, text string
		kind       fault.Kind
	}{
		{"good", `{"base":0,"author":"op","changes":[{"setClass":{"name":"c","priority":3}}]}`, ""},
		{"not JSON", `{`, fault.Invalid},
		{"unknown field", `{"base":0,"author":"op","sudo":true,"changes":[{"setClass":{"name":"c"}}]}`, fault.Invalid},
		{"unknown field of a change", `{"base":0,"author":"op","changes":[{"setClass":{"name":"c"},"sudo":true}]}`, fault.Invalid},
		{"too many changes", `{"base":0,"author":"op","changes":[{}` + strings.Repeat(",{}", 80_000) + `]}`, fault.Invalid},
		{"trailing data", `{"base":0,"author":"op","changes":[{"setClass":{"name":"c"}}]} {}`, fault.Invalid},
		{"no changes", `{"base":0,"author":"op","changes":[]}`, fault.Invalid},
		{"no author", `{"base":0,"changes":[{"setClass":{"name":"c"}}]}`, fault.Invalid},
		{"two fields", `{"base":0,"author":"op","changes":[{"setClass":{"name":"c"},"removeClass":"d"}]}`, fault.Invalid},
		{"no field", `{"base":0,"author":"op","changes":[{}]}`, fault.Invalid},
		{"negative base", `{"base":-1,"author":"op","changes":[{"setClass":{"name":"c"}}]}`, fault.Invalid},
		{"negative cells", `{"base":0,"author":"op","changes":[{"setOrganisation":{"name":"o","guarantee":{"a":{"rack":-2}}}}]}`, fault.Invalid},
		{"unknown level", `{"base":0,"author":"op","changes":[{"setOrganisation":{"name":"o","guarantee":{"a":{"shelf":2}}}}]}`, fault.Invalid},
		{"bad name", `{"base":0,"author":"op","changes":[{"setOrganisation":{"name":"a/b"}}]}`, fault.Invalid},
		{"absurd priority", `{"base":0,"author":"op","changes":[{"setClass":{"name":"c","priority":1000}}]}`, fault.Invalid},
		{"negative weight", `{"base":0,"author":"op","changes":[{"setPolicy":{"completionWeight":-1}}]}`, fault.Invalid},
		{"too large", strings.Repeat(" ", config.MaxPatch+1), fault.TooLarge},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := config.ParsePatch(strings.NewReader(c.text))
			require.Equal(t, c.kind, fault.KindOf(err), "%v", err)
			if err != nil {
				require.NotEmpty(t, fault.As(err).Remedy)
			}
		})
	}
}

func TestApplyNeverChangesItsReceiver(t *testing.T) {
	var c config.Config
	p, err := config.ParsePatch(strings.NewReader(
		`{"base":0,"author":"op","changes":[{"setOrganisation":{"name":"o","guarantee":{"a":{"rack":1}}}},{"setClass":{"name":"c"}}]}`))
	require.NoError(t, err)
	d, err := c.Apply(p)
	require.NoError(t, err)
	require.EqualValues(t, 1, d.Version)
	p.Base, p.Changes = 1, []config.Change{{RemoveOrganisation: "o"}}
	e, err := d.Apply(p)
	require.NoError(t, err)
	require.Contains(t, d.Organisations, "o")
	require.NotContains(t, e.Organisations, "o")
	p.Base = 2
	_, err = e.Apply(p)
	require.Equal(t, fault.NotFound, fault.KindOf(err))
}

// Guards against a configuration that grows with every patch until it fits into no message.
func TestConfigurationIsBounded(t *testing.T) {
	c := config.Config{Classes: map[string]config.Class{}}
	for i := range 12_000 {
		c.Classes[fmt.Sprintf("%0100d", i)] = config.Class{}
	}
	_, err := c.Apply(&config.Patch{Author: "op", Changes: []config.Change{{SetClass: &config.NamedClass{Name: "c"}}}})
	require.Equal(t, fault.TooLarge, fault.KindOf(err))
	_, err = c.Apply(&config.Patch{Author: "op", Changes: []config.Change{{RemoveClass: fmt.Sprintf("%0100d", 0)}}})
	require.NoError(t, err, "it may shrink")
}

func ExampleConfig_Apply() {
	var c config.Config
	p := &config.Patch{Base: 0, Author: "op", Changes: []config.Change{
		{SetClass: &config.NamedClass{Name: "routePlan", Class: config.Class{Urgent: true}}},
	}}
	next, err := c.Apply(p)
	fmt.Println(next.Version, err)
	_, err = next.Apply(p)
	fmt.Println(err)
	// Output:
	// 1 <nil>
	// the patch is against version 0 and the current version is 1; review version 1 and write the patch against it
}

func FuzzParsePatch(f *testing.F) {
	f.Add([]byte(`{"base":0,"author":"op","changes":[{"setOrganisation":{"name":"o","guarantee":{"a":{"rack":1}}}}]}`))
	f.Add([]byte(`{"base":18446744073709551615,"author":"op","changes":[{"setPolicy":{"completionWeight":1e308}}]}`))
	f.Add([]byte(`{"base":3,"author":"op","changes":[{"closeDataCentre":{"name":"a","lost":true}},{"openDataCentre":"a"}]}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		p, err := config.ParsePatch(bytes.NewReader(b))
		if err != nil {
			require.NotEmpty(t, fault.As(err).Remedy)
			return
		}
		c := config.Config{Version: p.Base}
		d, err := c.Apply(p)
		if err == nil {
			require.Equal(t, p.Base+1, d.Version)
		}
	})
}
