package simulation

import (
	"github.com/limpetrelay/limpetrelay/internal/scheduling/coordinator"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/jobspec"
	"github.com/limpetrelay/limpetrelay/internal/scheduling/queueconfig"
)

// Scenario describes a simulation. Times are in milliseconds since its start. Fields that
// are zero have the defaults given below.
type Scenario struct {
	Seed uint64
	// Workers is the number of workers, and RackSize the number of workers per rack;
	// RackSize defaults to 8.
	Workers, RackSize int
	// DataCentres is the number of data centres, which have the racks in turn and the names dc0,
	// dc1 and so on; 0 if workers name none.
	DataCentres int
	// MaxEvacuationDelay is how long after the request to evacuate a data centre tasks may start
	// there; default 5000.
	MaxEvacuationDelay int64
	// Capacity is the capacity of each worker; default 64 cores, 256 GiB and 8
	// accelerators.
	Capacity jobspec.Resources
	// Service names the pool of the workers; default "service".
	Service string
	// Configuration is in force from the start.
	Configuration *queueconfig.Configuration
	Coordinator   coordinator.Settings
	Jobs          []Arrival
	Faults        []Fault
	// NetworkDelay is the round-trip time to a worker, and the delay of each message to
	// or from the store; default 2.
	NetworkDelay int64
	// LinkRate is the rate of the coordinator's link, in bytes a second; 0 means that the
	// link carries everything at once. The coordinator knows the rate.
	LinkRate float64
	// CallRate is the number of calls a second that would take all of the coordinator's
	// processor time; 0 means that nothing takes any. The coordinator knows the rate. It handles
	// one event after the other, and is replaced if it does not renew its claim in time.
	CallRate float64
	// StopTime is how long stopping a run takes; default 300. GangWait is how long the
	// members of a gang wait for each other; default 3000. CheckpointInterval is the work
	// between checkpoints; default 1000.
	StopTime, GangWait, CheckpointInterval int64
	// MaxLease is the longest lease that a worker accepts, from the present on its clock;
	// default 10000.
	MaxLease int64
	// MaxListedEnds is the most ends in one answer to a poll; default 500.
	MaxListedEnds int
	// Trace is called with a description of each order, start, end and line of a
	// coordinator's log; nil for none.
	Trace func(string)
	// Paces are the workers' paces: worker i takes Paces[i%len(Paces)] times as long to run
	// tasks. If empty, all workers have pace 1.
	Paces []float64
	// RemoteFactor is the factor by which tasks run slower away from the rack of their data
	// or spread over several racks; default 3.
	RemoteFactor float64
}

// Arrival is a job that is submitted at a given time.
type Arrival struct {
	At   int64
	Spec jobspec.Spec
	// RunTime is the actual run time of each task; 0 means its estimate.
	RunTime int64
	// TaskRunTimes, if not empty, replaces RunTime: the actual run time at pace 1 of the task with
	// index i of a step is TaskRunTimes[i%len(TaskRunTimes)].
	TaskRunTimes []int64
	// AlwaysFails is set for a job whose tasks fail on every worker.
	AlwaysFails bool
	// CancelAt is when the caller cancels the job; 0 for never.
	CancelAt int64
}

// FaultKind is the kind of a fault.
type FaultKind string

// The kinds of faults.
const (
	// LateOrders makes each order unanswered and executed only 2 to 12 s later, with the
	// probability Magnitude.
	LateOrders FaultKind = "late"
	// Unhealthy makes every run that starts on the workers fail.
	Unhealthy FaultKind = "sick"
	// Hang makes all runs on the workers stall.
	Hang FaultKind = "hang"
	// Slow makes runs on the workers take Magnitude times as long.
	Slow FaultKind = "slow"
	// Cold makes the workers announce that they are cold for Duration, and run tasks coldFactor
	// times as long until then.
	Cold FaultKind = "cold"
	// Crash ends the workers' processes, which restart in a new lifetime and without runs
	// after Duration.
	Crash FaultKind = "crash"
	// Leave makes the workers drain and then end for good.
	Leave FaultKind = "leave"
	// Partition makes the workers unreachable while they keep running.
	Partition FaultKind = "cut"
	// StoreDown makes all calls of coordinators to the store fail.
	StoreDown FaultKind = "storeDown"
	// Replace ends the coordinator, and another one takes over.
	Replace FaultKind = "replace"
	// TakeOver starts another coordinator while the old one is still active.
	TakeOver FaultKind = "usurp"
	// Reborn ends the workers' processes, which restart after Duration under the same
	// instance: orders and polls for the earlier lifetime are executed in the new one. The
	// directory shows the new lifetime up to two seconds later. If Magnitude is negative,
	// the time of day was stepped back, and the new lifetime is less than the old one.
	Reborn FaultKind = "reborn"
	// Expire removes the workers' entries from the directory while the workers run.
	Expire FaultKind = "expire"
	// OrdersLost makes nothing that coordinators send arrive at the workers, and
	// AnswersLost makes the workers execute everything while no answer arrives. The
	// workers' entries stay in the directory.
	OrdersLost  FaultKind = "ordersLost"
	AnswersLost FaultKind = "answersLost"
	// LatePolls does to polls what LateOrders does to orders.
	LatePolls FaultKind = "latePolls"
	// Freeze suspends the coordinator. Another one takes over if that takes long enough.
	// The first one then processes the events that were queued in the meantime, and what
	// it was sending when it was suspended leaves it.
	Freeze FaultKind = "freeze"
	// Linger makes the workers drain for Duration, longer than they announce. Other workers
	// take their addresses afterwards.
	Linger FaultKind = "linger"
	// Evacuate requests the evacuation of the data centre number DataCentre for Duration, 0 meaning
	// for good. Coordinators learn of both when they can read from the store.
	Evacuate FaultKind = "evacuate"
	// OperatorsCut makes coordinators unable to read the operators' records.
	OperatorsCut FaultKind = "operatorsCut"
)

// Fault is a fault that is injected at a given time.
type Fault struct {
	At, Duration int64
	Kind         FaultKind
	// Count is the number of affected workers; 0 means 1. They are chosen at random, with
	// the seed of the scenario, unless Workers names them.
	Count   int
	Workers []string
	// DataCentre is the parameter of Evacuate.
	DataCentre int
	// Magnitude is the parameter of LateOrders, LatePolls, Slow and Reborn.
	Magnitude float64
}

func (s *Scenario) init() {
	setDefault(&s.RackSize, 8)
	setDefault(&s.MaxEvacuationDelay, 5000)
	if s.Capacity == (jobspec.Resources{}) {
		s.Capacity = jobspec.Resources{Cores: 64_000, Memory: 262_144, Accelerators: 8}
	}
	setDefault(&s.Service, "service")
	setDefault(&s.NetworkDelay, 2)
	setDefault(&s.StopTime, 300)
	setDefault(&s.GangWait, 3000)
	setDefault(&s.CheckpointInterval, 1000)
	setDefault(&s.MaxLease, 10_000)
	setDefault(&s.MaxListedEnds, 500)
	setDefault(&s.RemoteFactor, 3)
	s.Coordinator.LinkRate = s.LinkRate
	if s.CallRate > 0 {
		s.Coordinator.CallRate = s.CallRate
	}
	s.Coordinator.GangWait, s.Coordinator.RemoteFactor = s.GangWait, s.RemoteFactor
	s.Coordinator.Host, s.Coordinator.Incarnation = "host", "host-1"
}

// setDefault sets v to d when it is zero.
func setDefault[T int | int64 | float64 | string](v *T, d T) {
	var zero T
	if *v == zero {
		*v = d
	}
}
