package jobstate_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/limpetrelay/limpetrelay/internal/scheduling/jobspec"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/jobstate"
	"github.com/limpetrelay/limpetrelay/wire"
)

// oddValues are values that no record has: nested arrays, maps and tags, and lengths that
// exceed the value.
func oddValues() []string {
	deep := func(s string) string { return strings.Repeat(s, 10_000) }
	return []string{
		deep("\x81"), deep("\x9f"), deep("\xa1\x01"), deep("\xc1"), deep("\xa1\x04\x82\x80\x81"), "\x9b\xff\xff\xff\xff\xff\xff\xff\xff",
		"\x5b\x7f\xff\xff\xff\xff\xff\xff\xff", "\xbb\xff\xff\xff\xff\xff\xff\xff\xff", "\xa1\x04" + deep("\x82"), "\xff", "\x1b", "{}", "null",
	}
}

// Guards against a process that ends when it reads an odd record of the own partitions. The
// table must stay as it was.
func TestOddRecordChangesNothing(t *testing.T) {
	const id = "0123456789abcdef"
	s := spec(id)
	accepted, err := jobstate.AcceptedRecord(&s)
	require.NoError(t, err)
	claim, err := jobstate.ClaimRecord(&jobstate.Claim{Host: host})
	require.NoError(t, err)
	var table jobstate.Table
	apply(t, &table, accepted, claim)
	for _, key := range []string{"a" + id, "s" + id, "l", "d", "a", "", "\x00", "z" + id} {
		for _, v := range oddValues() {
			_, err := table.Apply(table.NextOffset, jobstate.Record{Key: key, Value: []byte(v)})
			require.Error(t, err, "%q %.20q", key, v)
			assert.Less(t, len(err.Error()), 1000)
		}
	}
	assert.Len(t, table.Jobs, 1)
	assert.Equal(t, jobspec.Queued, table.Jobs[id].State())
	assert.Equal(t, &s.ID, &table.Jobs[id].Spec.ID)
	assert.Equal(t, host, table.Claim.Host)
	for _, v := range oddValues() {
		d := jobstate.Details{}
		require.Error(t, d.Apply(jobstate.Record{Key: "t" + id, Value: []byte(v)}), "%.20q", v)
		require.NotNil(t, d[id])
		assert.False(t, d[id].Fits(&s), "the tasks are not known")
		ls := jobstate.Leases{}
		require.Error(t, ls.Apply(jobstate.Record{Key: "w" + id, Value: []byte(v)}), "%.20q", v)
		assert.Equal(t, jobstate.RecordedLease{Long: true, Unseen: true}, ls[id], "the lease may be any")
	}
}

func FuzzApply(f *testing.F) {
	for _, v := range oddValues() {
		f.Add("a1", []byte(v[:min(len(v), 1000)]))
		f.Add("t1", []byte(v[:min(len(v), 1000)]))
	}
	b, err := wire.Encode(&jobspec.Progress{Started: true, Occurrences: jobspec.Occurrences{{{{Phase: jobspec.Placed, Worker: "w"}, {Run: 2}}}}})
	require.NoError(f, err)
	f.Add("s1", b)
	f.Add("t1", b)
	f.Fuzz(func(_ *testing.T, key string, value []byte) {
		var table jobstate.Table
		_, _ = table.Apply(1, jobstate.Record{Key: key, Value: value})
		for _, j := range table.Jobs {
			_ = j.State()
		}
		d := jobstate.Details{}
		_ = d.Apply(jobstate.Record{Key: key, Value: value})
		for _, p := range d {
			if p != nil {
				_ = p.Clone()
			}
		}
	})
}

// Guards the coordinator against an acceptance that no host has validated: it would end
// when it makes the job's tasks or looks for the steps that a step follows.
func TestAcceptanceIsValidated(t *testing.T) {
	for name, change := range map[string]func(*jobspec.Spec){
		"a negative number of tasks": func(s *jobspec.Spec) { s.Steps[0].Tasks = -1 },
		"a huge number of tasks":     func(s *jobspec.Spec) { s.Steps[0].Tasks = 1 << 60 },
		"a step that does not exist": func(s *jobspec.Spec) { s.Steps[0].After = []int{7} },
		"no steps":                   func(s *jobspec.Spec) { s.Steps = nil },
		"huge occurrences":           func(s *jobspec.Spec) { s.Occurrences = 1 << 60 },
		"another ID":                 func(s *jobspec.Spec) { s.ID = "fedcba9876543210" },
	} {
		s := spec("0123456789abcdef")
		change(&s)
		r, err := jobstate.AcceptedRecord(&s)
		require.NoError(t, err)
		r.Key = "a0123456789abcdef"
		var table jobstate.Table
		_, err = table.Apply(0, r)
		require.Error(t, err, name)
		assert.Empty(t, table.Jobs, name)
	}
}
