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

// Settings holds the settings of one `limpetrelay serve` process.
type Settings struct {
	// Host is the name of this host in the platform's list.
	Host string `toml:"host"`
	// DataCentre and Region are the location of the host.
	DataCentre string `toml:"dataCentre"`
	Region     string `toml:"region"`
	// Listen is the IP address and port for callers and operators.
	Listen string `toml:"listen"`
	// PeerListen is the IP address and port for the other entry hosts.
	PeerListen string `toml:"peerListen"`
	// Platform is the base URL of the platform's services.
	Platform string `toml:"platform"`
	// LogLevel is debug, info, warn or error. Default info.
	LogLevel string  `toml:"logLevel"`
	Timings  Timings `toml:"timings"`
	Limits   Limits  `toml:"limits"`
}

// Timings are durations such as "1s" or "500ms". Zero selects the default.
type Timings struct {
	// Heartbeat is the interval between heartbeats to a worker. Default 1s.
	Heartbeat Duration `toml:"heartbeat"`
	// TaskLease is the lease of single tasks. Default 15s.
	TaskLease Duration `toml:"taskLease"`
	// GangLease is the lease of gang members. Default 6s.
	GangLease Duration `toml:"gangLease"`
	// SmallLease is the lease of small requests. Default 6s.
	SmallLease Duration `toml:"smallLease"`
	// PlacerTimeout is the time without contact after which a host replaces the
	// placer; the standby already does so after half of that time. Default 2s.
	PlacerTimeout Duration `toml:"placerTimeout"`
	// GoneAfter is the time without contact after which a worker is considered gone.
	// Default 10s.
	GoneAfter Duration `toml:"goneAfter"`
	// SnapshotEvery is the time after which a snapshot is written even if fewer than
	// Limits.SnapshotRecords entries were appended. It must be well below the log's
	// retention. Default 5m.
	SnapshotEvery Duration `toml:"snapshotEvery"`
	// HeaderTimeout is the time from the first byte of a request's header until it is
	// complete. Default 10s.
	HeaderTimeout Duration `toml:"headerTimeout"`
	// BodyTimeout is the time from the end of a request's header until its body is
	// complete. Default 30s.
	BodyTimeout Duration `toml:"bodyTimeout"`
	// IdleTimeout is the time without a request after which a connection is closed.
	// Default 2m.
	IdleTimeout Duration `toml:"idleTimeout"`
}

// Limits are bounds on the work of a host and on its clients. Zero selects the default.
type Limits struct {
	// BatchRecords is the largest number of records in one append. Default 128.
	BatchRecords int `toml:"batchRecords"`
	// SnapshotRecords is the number of log entries after which a snapshot is
	// written. Default 500.
	SnapshotRecords int `toml:"snapshotRecords"`
	// MemoryMB is the memory of the process, in MiB. Default 512.
	MemoryMB int64 `toml:"memoryMB"`
	// MaxDescriptors is the largest number of open descriptors of the process. Default
	// the limit that the operating system sets for it.
	MaxDescriptors int64 `toml:"maxDescriptors"`
	// HeaderBytes is the largest size of a request's header, in bytes. Default 65536.
	HeaderBytes int `toml:"headerBytes"`
}

// Duration is a time.Duration that is written as text.
type Duration time.Duration

// UnmarshalText parses a duration such as "1s".
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	if err != nil {
		return fault.Newf(fault.Invalid, `write it as "500ms", "2s" or "5m"`, "%q is not a duration", b)
	}
	*d = Duration(v)
	return nil
}

// Milliseconds returns d in whole milliseconds.
func (d Duration) Milliseconds() int64 { return time.Duration(d).Milliseconds() }

// Problem is one error in the settings.
type Problem struct {
	File    string `json:"file"`
	Key     string `json:"key"`
	Message string `json:"what"`
	Remedy  string `json:"remedy"`
}

// String formats the problem on one line.
func (p Problem) String() string {
	return fmt.Sprintf("%s: %s: %s; %s", p.File, p.Key, p.Message, p.Remedy)
}

// Load reads and checks the settings in file. The settings are valid if the list
// of problems is empty.
func Load(file string) (Settings, []Problem) {
	b, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, []Problem{{File: file, Key: "file", Message: err.Error(), Remedy: "give the path of a readable file"}}
	}
	return Parse(file, string(b))
}

// Parse reads and checks the settings in text. file names their source in the
// problems. The settings are valid if the list of problems is empty.
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

// checker collects the problems of the settings in file.
type checker struct {
	file     string
	problems []Problem
}

// add records a problem with key.
func (c *checker) add(key, message, remedy string) {
	c.problems = append(c.problems, Problem{File: c.file, Key: key, Message: message, Remedy: remedy})
}

// check validates every field.
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
	listenAddr := checkAddress(c, "listen", s.Listen)
	peerAddr := checkAddress(c, "peerListen", s.PeerListen)
	if listenAddr.IsValid() && listenAddr == peerAddr {
		c.add("peerListen", "it is the same address as listen", "use a different port for each")
	}
	if !strings.HasPrefix(s.Platform, "http://") && !strings.HasPrefix(s.Platform, "https://") {
		c.add("platform", fmt.Sprintf("%q is not a URL", s.Platform), `write it as "http://10.0.0.1:7000"`)
	}
	switch s.LogLevel {
	case "", "debug", "info", "warn", "error":
	default:
		c.add("logLevel", fmt.Sprintf("unknown level %q", s.LogLevel), "use debug, info, warn or error")
	}
	s.checkTimings(c)
	s.checkLimits(c)
}

// checkAddress parses the value of key as an IP address and port. It returns the
// zero AddrPort if the value is malformed.
func checkAddress(c *checker, key, v string) netip.AddrPort {
	a, err := netip.ParseAddrPort(v)
	if err != nil {
		c.add(key, fmt.Sprintf("%q is not an IP address and port", v), `write it as "10.0.0.5:7001"`)
		return netip.AddrPort{}
	}
	if a.Port() == 0 {
		c.add(key, "the port is 0", "set a fixed port")
	}
	return a
}

const (
	// minTiming and maxTiming are the bounds of every duration that is set.
	minTiming = 50 * time.Millisecond
	maxTiming = time.Hour
)

// checkTimings checks the bounds of the durations and that the gang and task
// leases last at least minHeartbeats heartbeats.
func (s *Settings) checkTimings(c *checker) {
	t := &s.Timings
	for _, f := range []struct {
		key string
		v   Duration
	}{
		{"heartbeat", t.Heartbeat}, {"taskLease", t.TaskLease}, {"gangLease", t.GangLease},
		{"smallLease", t.SmallLease}, {"placerTimeout", t.PlacerTimeout}, {"goneAfter", t.GoneAfter},
		{"snapshotEvery", t.SnapshotEvery}, {"headerTimeout", t.HeaderTimeout}, {"bodyTimeout", t.BodyTimeout},
		{"idleTimeout", t.IdleTimeout},
	} {
		if f.v != 0 && (time.Duration(f.v) < minTiming || time.Duration(f.v) > maxTiming) {
			c.add("timings."+f.key, fmt.Sprintf("%s is out of bounds", time.Duration(f.v)),
				fmt.Sprintf("set it to %s to %s", minTiming, maxTiming))
		}
	}
	const minHeartbeats = 4
	heartbeat := orDefault(t.Heartbeat, Duration(time.Second))
	if gang := orDefault(t.GangLease, Duration(6*time.Second)); gang < minHeartbeats*heartbeat {
		c.add("timings.gangLease", fmt.Sprintf("%s is less than %d heartbeats", time.Duration(gang), minHeartbeats),
			"raise it, or lower timings.heartbeat")
	}
	if task := orDefault(t.TaskLease, Duration(15*time.Second)); task < minHeartbeats*heartbeat {
		c.add("timings.taskLease", fmt.Sprintf("%s is less than %d heartbeats", time.Duration(task), minHeartbeats),
			"raise it, or lower timings.heartbeat")
	}
}

// checkLimits checks the bounds of the limits.
func (s *Settings) checkLimits(c *checker) {
	const maxRecords = 10_000
	if n := s.Limits.BatchRecords; n < 0 || n > maxRecords {
		c.add("limits.batchRecords", fmt.Sprintf("%d is out of bounds", n), fmt.Sprintf("set it to 1 to %d", maxRecords))
	}
	if n := s.Limits.SnapshotRecords; n < 0 {
		c.add("limits.snapshotRecords", fmt.Sprintf("%d is out of bounds", n), "set it to 1 or more")
	}
	for _, f := range []struct {
		key          string
		v, low, high int64
	}{
		// 45 MB without clients, their least budget, jobs, and what the kernel holds for connections.
		{"memoryMB", s.Limits.MemoryMB, 128, 1 << 20},
		// 200 descriptors are reserved for files.
		{"maxDescriptors", s.Limits.MaxDescriptors, 256, 1 << 20},
		// net/http refuses headers above 1 MiB by itself.
		{"headerBytes", int64(s.Limits.HeaderBytes), 4 << 10, 1 << 20},
	} {
		if f.v != 0 && (f.v < f.low || f.v > f.high) {
			c.add("limits."+f.key, fmt.Sprintf("%d is out of bounds", f.v), fmt.Sprintf("set it to %d to %d", f.low, f.high))
		}
	}
}

// orDefault returns d, or def if d is zero.
func orDefault(d, def Duration) Duration {
	if d == 0 {
		return def
	}
	return d
}

// keyOf returns the key and line of a TOML syntax or type error, or "file" for
// other errors.
func keyOf(err error) string {
	var pe toml.ParseError
	if errors.As(err, &pe) {
		return fmt.Sprintf("%s (line %d)", pe.LastKey, pe.Position.Line)
	}
	return "file"
}
