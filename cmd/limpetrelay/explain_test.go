package main

import (
	"bytes"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/limpetrelay/limpetrelay/fault"
)

func TestExplain(t *testing.T) {
	var tl timeline
	require.NoError(t, tl.read(strings.NewReader(`{"time":"2026-01-01T10:00:02Z","msg":"job ended","host":"b","id":"x","state":"failed"}
this is no JSON
   1.5 a {"time":"2026-01-01T10:00:01Z","msg":"role lost","host":"a","term":3}
{"time":"2026-01-01T10:00:00Z","msg":"answered","host":"a","id":"x","outcome":"done"}
{"time":"2026-01-01T10:00:01Z","msg":"placed","host":"a","id":"y"}
{"time":"2026-01-01T09:00:00Z","msg":"role taken","host":"a"}
{"cut off`)))
	var out bytes.Buffer
	require.NoError(t, tl.print(&out, "x"))
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	require.Len(t, lines, 4)
	assert.Contains(t, lines[0], "outcome=done")
	assert.Contains(t, lines[1], "role lost")
	assert.Contains(t, lines[2], "state=failed")
	assert.Equal(t, "2 lines of the job; 2 lines could not be read", lines[3])
	assert.Equal(t, fault.NotFound, fault.KindOf(tl.print(&out, "z")))
}

// Guards against an explanation that leaves out that the data centre of a job's workers was evacuated.
func TestExplainShowsEvacuations(t *testing.T) {
	var tl timeline
	require.NoError(t, tl.read(strings.NewReader(`{"time":"2026-01-01T10:00:00Z","msg":"placed","id":"x"}
{"time":"2026-01-01T10:00:01Z","msg":"data centre evacuated","dataCentre":"dc"}
{"time":"2026-01-01T10:00:02Z","msg":"evacuation cannot be read","key":"evacuate/"}
{"time":"2026-01-01T10:00:03Z","msg":"evacuation ended","dataCentre":"dc"}
{"time":"2026-01-01T10:00:04Z","msg":"job ended","id":"x"}`)))
	var out bytes.Buffer
	require.NoError(t, tl.print(&out, "x"))
	for _, m := range []string{"data centre evacuated", "evacuation cannot be read", "evacuation ended"} {
		assert.Contains(t, out.String(), m)
	}
}
