package settings_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/limpetrelay/limpetrelay/settings"
)

const good = `
host = "e1"
dataCentre = "gulf-a"
region = "gulf-south"
listen = "127.0.0.1:7001"
peerListen = "127.0.0.1:8001"
platform = "http://127.0.0.1:7000"
`

func TestParse(t *testing.T) {
	for _, c := range []struct {
		name, text string
		keys       []string
	}{
		{"good", good, nil},
		{"all faults at once", "host = \"a b\"\nspeed = 3\n[timings]\nheartbeat = \"9h\"\n",
			[]string{"speed", "host", "dataCentre", "region", "listen", "peerListen", "platform", "timings.heartbeat", "timings.gangLease", "timings.taskLease"}},
		{"clash", strings.Replace(good, "8001", "7001", 1), []string{"peerListen"}},
		{"bad unit", good + "[timings]\ntaskLease = \"15 seconds\"\n", []string{"timings.taskLease (line 9)"}},
		{"gang lease below four heartbeats", good + "[timings]\ngangLease = \"3s\"\n", []string{"timings.gangLease"}},
		{"name for a number", strings.Replace(good, `"127.0.0.1:7001"`, `"localhost:7001"`, 1), []string{"listen"}},
		{"negative limit", good + "[limits]\nbatchRecords = -1\n", []string{"limits.batchRecords"}},
		{"limits of clients", good + "[timings]\nbodyTimeout = \"1m\"\n[limits]\nmemoryMB = 128\nmaxDescriptors = 256\nheaderBytes = 4096\n", nil},
		{"limits out of bounds", good + "[timings]\nidleTimeout = \"1ms\"\n[limits]\nmemoryMB = 127\nmaxDescriptors = -1\nheaderBytes = 2000000\n",
			[]string{"timings.idleTimeout", "limits.memoryMB", "limits.maxDescriptors", "limits.headerBytes"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, problems := settings.Parse("e1.toml", c.text)
			var keys []string
			for _, p := range problems {
				keys = append(keys, p.Key)
				require.Equal(t, "e1.toml", p.File)
				require.NotEmpty(t, p.Remedy)
			}
			require.ElementsMatch(t, c.keys, keys, "%v", problems)
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add(good)
	f.Add("[timings]\nheartbeat = 3")
	f.Fuzz(func(t *testing.T, text string) {
		_, problems := settings.Parse("f", text)
		for _, p := range problems {
			require.NotEmpty(t, p.String())
		}
	})
}
