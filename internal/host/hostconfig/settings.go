// Package hostconfig holds the settings of one entry host on the users' platform.
package hostconfig

// Settings configures a host. Times are in milliseconds. They come from the
// platform's settings file.
type Settings struct {
	// Host, DataCentre and Region say which host this is and where.
	Host, DataCentre, Region string
	// CallersAddress, ReadyAddress and MetricsAddress are where to listen. MetricsAddress may be empty.
	CallersAddress, ReadyAddress, MetricsAddress string
	// StoreAddress is the address of the platform's store.
	StoreAddress string
	// AdviceAddress is the address of the advisory service; empty for none.
	AdviceAddress string
	// CoreShare is the part of a processor core that the host has.
	CoreShare float64
	MemoryMB  int64
	// MaxLease is the longest lease that a worker grants.
	MaxLease int64
	// GangWait is how long the first member of a gang waits for the others.
	GangWait int64
	// RevocationTimeout is the time after which a withdrawn key must not work anywhere.
	RevocationTimeout int64
	// Retention is how long the state of an ended job is told.
	Retention int64
	// RestoreTime is the time to resume from a checkpoint.
	RestoreTime int64
	// RemoteFactor is how much slower a task is away from its data or its gang.
	RemoteFactor float64
	// MaxAppendBytes bounds one append to the store.
	MaxAppendBytes int64
}

// NeedsRestart returns the names of the fields that differ from old and take
// effect only when the process starts again.
func (s *Settings) NeedsRestart(old *Settings) []string {
	var names []string
	for _, f := range []struct {
		name     string
		new, old any
	}{
		{"host", s.Host, old.Host}, {"dataCentre", s.DataCentre, old.DataCentre}, {"callers", s.CallersAddress, old.CallersAddress},
		{"ready", s.ReadyAddress, old.ReadyAddress}, {"metrics", s.MetricsAddress, old.MetricsAddress}, {"store", s.StoreAddress, old.StoreAddress},
		{"advice", s.AdviceAddress, old.AdviceAddress}, {"memoryMB", s.MemoryMB, old.MemoryMB},
	} {
		if f.new != f.old {
			names = append(names, f.name)
		}
	}
	return names
}
