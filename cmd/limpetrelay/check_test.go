package main

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/limpetrelay/limpetrelay/platform"
)

// Guards the exit code, on which a script decides whether a configuration is published.
func TestCheckConfigurationExitCode(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		return path
	}
	good, empty := write("good.json", `{"version":2,"routes":[]}`), write("empty.json", "")
	warned := write("warned.json", `{"version":3,"routes":[],"services":[{"name":"s"}]}`)
	for _, c := range []struct {
		arguments []string
		code      int
		findings  int
	}{
		{[]string{"--configuration", good}, 0, 0},
		{[]string{"--configuration", warned, "--current", good}, 0, 2},
		{[]string{"--configuration", good, "--current", warned}, 2, 2},
		{[]string{"--configuration", good, "--current", empty}, 2, 1},
		{[]string{"--configuration", empty}, 2, 1},
		{[]string{"--configuration", filepath.Join(dir, "none.json")}, 2, -1},
		{[]string{"--configuration", good, "--accelerators", "-1"}, 2, -1},
		{[]string{"--configuration", good, good}, 2, -1},
		{[]string{"--current", good, good}, 2, -1},
	} {
		var out bytes.Buffer
		app := newApp()
		app.Writer = &out
		code := 0
		if err := app.Run(t.Context(), append([]string{"limpetrelay", "check", "--json"}, c.arguments...)); err != nil {
			code = exitCode(err)
		}
		assert.Equal(t, c.code, code, "%v", c.arguments)
		if c.findings < 0 {
			continue
		}
		var findings []platform.Finding
		require.NoError(t, json.Unmarshal(out.Bytes(), &findings), "%v", c.arguments)
		assert.Len(t, findings, c.findings, "%v", c.arguments)
	}
}
