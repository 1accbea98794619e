// Package hostconfig holds the settings of one entry host on the users' platform.
package hostconfig

// Settings is the configuration of a host, read from the platform's settings file.
// Times are in milliseconds.
type Settings struct {
	// Host is the name of this host; DataCentre and Region are its location.
	Host, DataCentre, Region string
	// CallersAddress, ReadyAddress and MetricsAddress are the addresses to listen on.
	// MetricsAddress may be empty.
	CallersAddress, ReadyAddress, MetricsAddress string
	// StoreAddress is the address of the platform's store.
	StoreAddress string
	// AdviceAddress is the address of the advisory service; empty for none.
	AdviceAddress string
	// CoreShare is the share of a processor core that is available to the host; 1 is a
	// whole core.
	CoreShare float64
	// MemoryMB is the host's memory limit, in megabytes.
	MemoryMB int64
	// MaxDescriptors is the host's limit of open descriptors; 0 if it is not known.
	MaxDescriptors int64
	// LinkRate is the rate of the host's network link, in bytes a second; 0 if it is not
	// known.
	LinkRate float64
	// MaxLease is the longest lease that a worker grants.
	MaxLease int64
	// GangWait is how long the first member of a gang waits for the others.
	GangWait int64
	// RevocationTimeout is the time within which every host must reject a revoked API
	// key.
	RevocationTimeout int64
	// Retention is how long the state of an ended job can be queried at least, from when
	// callers first see the end.
	Retention int64
	// RestoreTime is the time that a task needs to resume from a checkpoint.
	RestoreTime int64
	// RemoteFactor is the factor by which a task takes longer away from its data or
	// its gang.
	RemoteFactor float64
	// MaxAppendBytes is the largest size of one append to the store, in bytes.
	MaxAppendBytes int64
	// MaxRecordBytes is the largest size of one record, in bytes; 0 means that of the platform.
	MaxRecordBytes int64
	// EvacuationTimeout is the time after which no task may start in a data centre under evacuation;
	// 0 if there are no evacuations.
	EvacuationTimeout int64
}

// NeedsRestart returns the names of the settings that differ from old and take
// effect only after a restart of the process.
func (s *Settings) NeedsRestart(old *Settings) []string {
	var names []string
	for _, f := range []struct {
		name     string
		new, old any
	}{
		{"host", s.Host, old.Host}, {"dataCentre", s.DataCentre, old.DataCentre}, {"callers", s.CallersAddress, old.CallersAddress},
		{"ready", s.ReadyAddress, old.ReadyAddress}, {"metrics", s.MetricsAddress, old.MetricsAddress}, {"store", s.StoreAddress, old.StoreAddress},
		{"advice", s.AdviceAddress, old.AdviceAddress}, {"memoryMB", s.MemoryMB, old.MemoryMB},
		{"maxDescriptors", s.MaxDescriptors, old.MaxDescriptors},
	} {
		if f.new != f.old {
			names = append(names, f.name)
		}
	}
	return names
}
