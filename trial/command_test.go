package trial

import (
	"bytes"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// runCommand runs a limpetrelay command against a host and returns its combined
// output and exit code.
func (c *cluster) runCommand(host string, args ...string) (string, int) {
	c.t.Helper()
	cmd := exec.Command(filepath.Join(binaries, "limpetrelay"), args...)
	cmd.Env = append(os.Environ(), "LIMPETRELAY_HOST=http://"+c.hosts[host].address)
	var out bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &out
	err := cmd.Run()
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		return out.String(), exit.ExitCode()
	}
	require.NoError(c.t, err)
	return out.String(), 0
}

// TestCommandLine runs commands with valid and invalid arguments and checks their
// output and the documented exit codes.
func TestCommandLine(t *testing.T) {
	c := smallCluster(t)
	dir := t.TempDir()
	writeFile := func(name, text string) string {
		p := filepath.Join(dir, name)
		require.NoError(t, os.WriteFile(p, []byte(text), 0o600))
		return p
	}
	patch := writeFile("p.json", `{"base":1,"author":"op","changes":[{"setClass":{"name":"routePlan","urgent":true}}]}`)
	stalePatch := writeFile("old.json", `{"base":0,"author":"op","changes":[{"setClass":{"name":"c"}}]}`)
	malformedPatch := writeFile("bad.json", `{"base":0,"sudo":1}`)
	payload := writeFile("work.json", `{"run":20,"echo":"by command"}`)
	failingPayload := writeFile("fail.json", `{"run":20,"fail":true}`)
	settingsFile := writeFile("s.toml", "host = \"e 9\"\nspeed = 1\n")
	submit := func(args ...string) []string {
		return append([]string{"submit", "--organisation", "skimworks", "--class", "c"}, args...)
	}
	for _, tc := range []struct {
		args []string
		exit int
		want string
	}{
		{[]string{"config", "show"}, 0, "version 1"},
		{[]string{"config", "diff", patch}, 0, "+++ version 2"},
		{[]string{"config", "patch", "--dry-run", patch}, 0, "would yield version 2"},
		{[]string{"config", "patch", patch}, 0, "accepted as version 2"},
		{[]string{"config", "patch", patch}, 3, "current version is 2"},
		{[]string{"config", "patch", stalePatch}, 3, "version 1 by op"},
		{[]string{"config", "patch", malformedPatch}, 2, "malformed patch"},
		{[]string{"config", "patch"}, 2, "is missing"},
		{[]string{"config", "history"}, 0, "setOrganisation"},
		{submit("--payload-file", payload, "--run-time", "1s"), 0, "by command"},
		{submit("--payload-file", payload, "--key", "k", "--once", "-o", "json"), 0, `"result": "completed"`},
		{submit("--payload-file", payload, "--key", "k"), 3, "was used for another request"},
		{submit("--payload-file", failingPayload, "--key", "f"), 7, "failed"},
		{submit("--members", "-1"), 2, "members is -1"},
		{submit("--members", "9", "--accelerators", "8"), 2, "cannot hold"},
		{submit("--output", "xml"), 2, "unknown output"},
		{[]string{"submit", "--organisation", "nobody", "--class", "c"}, 4, "no organisation"},
		{[]string{"status"}, 0, "worker w1"},
		{[]string{"status", "--organisation", "skimworks", "--key", "k"}, 0, "completed"},
		{[]string{"status", "none"}, 4, "there is no job"},
		{[]string{"cancel", "none", "--by", "clerk"}, 4, "there is no job"},
		{[]string{"answer", "none"}, 4, "there is no job"},
		{[]string{"check", settingsFile}, 2, "speed: unknown key"},
		{[]string{"check", filepath.Join(dir, "none.toml")}, 2, "readable file"},
		{[]string{"serve", "--settings", settingsFile}, 2, "problems"},
		{[]string{"status", "--host", "http://127.0.0.1:1"}, 5, "cannot reach"},
		{[]string{"status", "--host", "ftp://x"}, 2, "not a base address"},
	} {
		out, exit := c.runCommand("e1", tc.args...)
		require.Equal(t, tc.exit, exit, "%v: %s", tc.args, out)
		require.Contains(t, out, tc.want, "%v", tc.args)
	}
}
