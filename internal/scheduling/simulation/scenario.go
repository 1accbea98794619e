package simulation

import (
	"github.com/limpetrelay/limpetrelay/internal/scheduling/coordinator"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/jobspec"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/queueconfig"
)

// Plan describes a world. Times are in milliseconds since its beginning.
type Scenario struct {
	Seed uint64
	// Workers is the number of workers, Rack how many share a rack; default 8.
	Workers, Rack int
	// Capacity is that of each worker; the default is 64 cores, 256 GiB and 8
	// accelerators.
	Capacity jobspec.Resources
	// Service names the workers' pool; default "service".
	Service string
	// Configuration is in force from the beginning.
	Configuration *queueconfig.Configuration
	Coordinator   coordinator.Settings
	// Jobs arrive at their times.
	Jobs   []Arrival
	Faults []Fault
	// Delay is the way to a worker or the store and back; default 2.
	NetworkDelay int64
	// StopTime is how long a stop takes; default 300. GangWait is how long members wait
	// for each other; default 3000. SaveEvery is the work between checkpoints; default
	// 1000.
	StopTime, GangWait, CheckpointInterval int64
	// FarFactor is how much slower tasks are away from their data or gang; default 3.
	RemoteFactor float64
}

// Arrival is a job that comes at a time.
type Arrival struct {
	At   int64
	Spec jobspec.Spec
	// Work is how long each task really takes; 0 means its estimate.
	RunTime int64
	// Hopeless jobs fail wherever they run.
	AlwaysFails bool
	// CancelAt is when the caller cancels; 0 for never.
	CancelAt int64
}

// Kind is the kind of a fault.
type FaultKind string

// The kinds.
const (
	// Late orders are carried out 2 to 12 s later and not answered, with probability X.
	LateOrders FaultKind = "late"
	// Sick workers fail everything that they start.
	Unhealthy FaultKind = "sick"
	// Hang lets everything on the workers stand still.
	Hang FaultKind = "hang"
	// Slow workers take X times as long.
	Slow FaultKind = "slow"
	// Crash ends the workers, which come back empty in a new lifetime.
	Crash FaultKind = "crash"
	// Leave lets the workers drain and then go.
	Leave FaultKind = "leave"
	// Cut workers are not reached and run on.
	Partition FaultKind = "cut"
	// StoreDown refuses all calls to the store.
	StoreDown FaultKind = "storeDown"
	// Replace kills the coordinator, and another one takes over.
	Replace FaultKind = "replace"
	// Usurp starts another coordinator while the old one goes on.
	TakeOver FaultKind = "usurp"
)

// Fault is something that goes wrong.
type Fault struct {
	At, Duration int64
	Kind         FaultKind
	// Count is the number of workers, picked by the seed.
	Count     int
	Magnitude float64
}

func (p *Scenario) init() {
	def(&p.Rack, 8)
	if p.Capacity == (jobspec.Resources{}) {
		p.Capacity = jobspec.Resources{Cores: 64_000, Memory: 262_144, Accelerators: 8}
	}
	def(&p.Service, "service")
	def(&p.NetworkDelay, 2)
	def(&p.StopTime, 300)
	def(&p.GangWait, 3000)
	def(&p.CheckpointInterval, 1000)
	def(&p.RemoteFactor, 3)
	p.Coordinator.GangWait, p.Coordinator.RemoteFactor = p.GangWait, p.RemoteFactor
	p.Coordinator.Host, p.Coordinator.Incarnation = "host", "host-1"
}

// def sets v to d when it is zero.
func def[T int | int64 | float64 | string](v *T, d T) {
	var zero T
	if *v == zero {
		*v = d
	}
}
