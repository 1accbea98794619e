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
{"time":"2026-01-01T10:00:01.1Z","msg":"data centre evacuated"}
{"time":"2026-01-01T10:00:01.2Z","msg":"evacuation cannot be read"}
{"time":"2026-01-01T10:00:01.3Z","msg":"evacuation ended"}
{"time":"2026-01-01T10:00:00Z","msg":"answered","host":"a","id":"x","outcome":"done"}
{"time":"2026-01-01T10:00:01Z","msg":"placed","host":"a","id":"y"}
{"time":"2026-01-01T09:00:00Z","msg":"role taken","host":"a"}
{"cut off`)))
	var out bytes.Buffer
	require.NoError(t, tl.print(&out, "x"))
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	require.Len(t, lines, 7)
	assert.Contains(t, lines[0], "outcome=done")
	assert.Contains(t, lines[1], "role lost")
	assert.Contains(t, lines[2], "data centre evacuated")
	assert.Contains(t, lines[3], "evacuation cannot be read")
	assert.Contains(t, lines[4], "evacuation ended")
	assert.Contains(t, lines[5], "state=failed")
	assert.Equal(t, "2 lines of the job; 2 lines could not be read", lines[6])
	assert.Equal(t, fault.NotFound, fault.KindOf(tl.print(&out, "z")))
}
