package settings

import (
	"fmt"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/cockroachdb/errors"

	"github.com/limpetrelay/limpetrelay/fault"
	"github.com/limpetrelay/limpetrelay/job"
)

// Settings configures `limpetrelay serve`.
type Settings struct {
	// Host is the name of this host in the platform's list.
	Host string `toml:"host"`
	// DataCentre and Region say where the host is.
	DataCentre string `toml:"dataCentre"`
	Region     string `toml:"region"`
	// Listen is the IP number and port for callers and operators.
	Listen string `toml:"listen"`
	// PeerListen is the IP number and port for the other entry hosts.
	PeerListen string `toml:"peerListen"`
	// Platform is the base address of the platform's services.
	Platform string `toml:"platform"`
	// LogLevel is debug, info, warn or error. Default info.
	LogLevel string  `toml:"logLevel"`
	Timings  Timings `toml:"timings"`
	Limits   Limits  `toml:"limits"`
}

// Timings are durations such as "1s" or "500ms". Zero means the default.
type Timings struct {
	// Heartbeat is the time between heartbeats to a worker. Default 1s.
	Heartbeat Duration `toml:"heartbeat"`
	// TaskLease is the lease of single tasks. Default 15s.
	TaskLease Duration `toml:"taskLease"`
	// GangLease is the lease of gang members. Default 6s.
	GangLease Duration `toml:"gangLease"`
	// SmallLease is the lease of small requests. Default 6s.
	SmallLease Duration `toml:"smallLease"`
	// PlacerTimeout is the silence after which a placer is replaced; the first in
	// line replaces it after half of that. Default 2s.
	PlacerTimeout Duration `toml:"placerTimeout"`
	// GoneAfter is the silence after which a worker counts as gone. Default 10s.
	GoneAfter Duration `toml:"goneAfter"`
	// SnapshotEvery must be well below the log's retention. Default 5m.
	SnapshotEvery Duration `toml:"snapshotEvery"`
}

// Limits bounds what a host does. Zero means the default.
type Limits struct {
	// BatchRecords is the number of records in one append. Default 128.
	BatchRecords int `toml:"batchRecords"`
	// SnapshotRecords is the number of log entries between snapshots.
	// Default 500.
	SnapshotRecords int `toml:"snapshotRecords"`
}

// Duration is a time.Duration in text form.
type Duration time.Duration

// UnmarshalText reads a duration such as "1s".
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	if err != nil {
		return fault.Newf(fault.Invalid, `write it as "500ms", "2s" or "5m"`, "%q is not a duration", b)
	}
	*d = Duration(v)
	return nil
}

// Milliseconds returns d in milliseconds.
func (d Duration) Milliseconds() int64 { return time.Duration(d).Milliseconds() }

// Problem is one fault of the settings.
type Problem struct {
	File    string `json:"file"`
	Key     string `json:"key"`
	Message string `json:"what"`
	Remedy  string `json:"remedy"`
}

// String returns the problem on one line.
func (p Problem) String() string {
	return fmt.Sprintf("%s: %s: %s; %s", p.File, p.Key, p.Message, p.Remedy)
}

// Load reads and checks the settings in file. It returns all problems.
func Load(file string) (Settings, []Problem) {
	b, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, []Problem{{File: file, Key: "file", Message: err.Error(), Remedy: "give the path of a readable file"}}
	}
	return Parse(file, string(b))
}

// Parse reads and checks the settings in text, which came from file.
func Parse(file, text string) (Settings, []Problem) {
	var s Settings
	meta, err := toml.Decode(text, &s)
	if err != nil {
		return s, []Problem{{File: file, Key: keyOf(err), Message: fault.As(err).Message, Remedy: "correct the line"}}
	}
	c := checker{file: file}
	for _, k := range meta.Undecoded() {
		c.add(k.String(), "unknown key", "remove it, or see `limpetrelay check --help` for the keys")
	}
	s.check(&c)
	return s, c.problems
}

// checker collects problems.
type checker struct {
	file     string
	problems []Problem
}

// add notes a problem.
func (c *checker) add(key, what, remedy string) {
	c.problems = append(c.problems, Problem{File: c.file, Key: key, Message: what, Remedy: remedy})
}

// check checks every field.
func (s *Settings) check(c *checker) {
	for _, f := range []struct{ key, v string }{
		{"host", s.Host}, {"dataCentre", s.DataCentre}, {"region", s.Region},
	} {
		if f.v == "" {
			c.add(f.key, "it is missing", "set it to the name in the platform's list")
		} else if err := job.CheckName(f.key, f.v); err != nil {
			c.add(f.key, fault.As(err).Message, fault.As(err).Remedy)
		}
	}
	listen := checkAddress(c, "listen", s.Listen)
	peers := checkAddress(c, "peerListen", s.PeerListen)
	if listen.IsValid() && listen == peers {
		c.add("peerListen", "it clashes with listen", "give each a port of its own")
	}
	if !strings.HasPrefix(s.Platform, "http://") && !strings.HasPrefix(s.Platform, "https://") {
		c.add("platform", fmt.Sprintf("%q is not an address", s.Platform), `write it as "http://10.0.0.1:7000"`)
	}
	switch s.LogLevel {
	case "", "debug", "info", "warn", "error":
	default:
		c.add("logLevel", fmt.Sprintf("unknown level %q", s.LogLevel), "use debug, info, warn or error")
	}
	s.checkTimings(c)
	s.checkLimits(c)
}

// checkAddress checks an IP number and port.
func checkAddress(c *checker, key, v string) netip.AddrPort {
	a, err := netip.ParseAddrPort(v)
	if err != nil {
		c.add(key, fmt.Sprintf("%q is not an IP number and port", v), `write it as "10.0.0.5:7001"`)
		return netip.AddrPort{}
	}
	if a.Port() == 0 {
		c.add(key, "the port is 0", "give a fixed port")
	}
	return a
}

const (
	// leastTiming and mostTiming bound every duration.
	leastTiming = 50 * time.Millisecond
	mostTiming  = time.Hour
)

// checkTimings bounds the durations and checks how they fit together.
func (s *Settings) checkTimings(c *checker) {
	t := &s.Timings
	for _, f := range []struct {
		key string
		v   Duration
	}{
		{"heartbeat", t.Heartbeat}, {"taskLease", t.TaskLease}, {"gangLease", t.GangLease},
		{"smallLease", t.SmallLease}, {"placerTimeout", t.PlacerTimeout}, {"goneAfter", t.GoneAfter},
		{"snapshotEvery", t.SnapshotEvery},
	} {
		if f.v != 0 && (time.Duration(f.v) < leastTiming || time.Duration(f.v) > mostTiming) {
			c.add("timings."+f.key, fmt.Sprintf("%s is out of bounds", time.Duration(f.v)),
				fmt.Sprintf("set it to %s to %s", leastTiming, mostTiming))
		}
	}
	const leastRatio = 4
	beat := or(t.Heartbeat, Duration(time.Second))
	if gang := or(t.GangLease, Duration(6*time.Second)); gang < leastRatio*beat {
		c.add("timings.gangLease", fmt.Sprintf("%s is less than %d heartbeats", time.Duration(gang), leastRatio),
			"raise it, or lower timings.heartbeat")
	}
	if task := or(t.TaskLease, Duration(15*time.Second)); task < leastRatio*beat {
		c.add("timings.taskLease", fmt.Sprintf("%s is less than %d heartbeats", time.Duration(task), leastRatio),
			"raise it, or lower timings.heartbeat")
	}
}

// checkLimits bounds the numbers.
func (s *Settings) checkLimits(c *checker) {
	const mostRecords = 10_000
	if n := s.Limits.BatchRecords; n < 0 || n > mostRecords {
		c.add("limits.batchRecords", fmt.Sprintf("%d is out of bounds", n), fmt.Sprintf("set it to 1 to %d", mostRecords))
	}
	if n := s.Limits.SnapshotRecords; n < 0 {
		c.add("limits.snapshotRecords", fmt.Sprintf("%d is out of bounds", n), "set it to 1 or more")
	}
}

// or returns d, or def when d is zero.
func or(d, def Duration) Duration {
	if d == 0 {
		return def
	}
	return d
}

// keyOf returns the key that a TOML error is about.
func keyOf(err error) string {
	var pe toml.ParseError
	if errors.As(err, &pe) {
		return fmt.Sprintf("%s (line %d)", pe.LastKey, pe.Position.Line)
	}
	return "file"
}
