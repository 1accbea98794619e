package workload

import (
	"github.com/limpetrelay/limpetrelay/rack"
)

// Settings are the parameters of the load. Zero fields have defaults, which are the
// present sizes of one of the users' data centres.
type Settings struct {
	// Seed seeds the random numbers. Equal settings give equal loads.
	Seed uint64
	// Days is the duration of the load, in days. Default 1.
	Days float64
	// Workers is the number of workers, each of eight slots and eight per rack.
	// Default 48.
	Workers int
	// TargetUtilisation is the offered load as a share of all slots. Default 0.8.
	TargetUtilisation float64
	// MaxRunTimeError is the largest factor by which a declared run time is above
	// or below the true one. Default 10.
	MaxRunTimeError float64
	// UnplaceableShare is the probability that a job can never be placed. Default
	// 0.01.
	UnplaceableShare float64
	// BrokenWorkers is the number of workers on which every task fails. Default 1;
	// a negative number means none.
	BrokenWorkers int
	// CancelIntervalHours is the time between waves of cancellations, in hours.
	// Default 6.
	CancelIntervalHours float64
	// CancelShare is the probability that a wave cancels a queued job. Default
	// 0.2.
	CancelShare float64
	// BurstSize is the number of jobs in a burst of small jobs. A burst of large
	// jobs has an eighth of it. Default 30.
	BurstSize int
	// BurstIntervalHours is the time between bursts, in hours. Default 2.
	BurstIntervalHours float64
	// CompletionWeight and FragmentationWeight are the weights of the policy.
	CompletionWeight, FragmentationWeight float64
	// GangAgeLimit is the policy's age limit of gangs, in milliseconds. Default
	// one hour.
	GangAgeLimit int64
	// OnlyOrganisation limits the load to the jobs of one organisation and the
	// workers to its guarantee, without broken ones, to compare sharing with
	// running alone. Empty means all organisations.
	OnlyOrganisation string
}

// class is a class of jobs. Its jobs have the same properties and are drawn from
// the same distributions.
type class struct {
	name         string
	organisation string
	// slotTimeShare is the share of the class in the slot time of the load.
	slotTimeShare float64
	// members and slots are the gang sizes and the slots per member from which a
	// job's are drawn.
	members, slots []int
	adjacency      rack.Adjacency
	// medianRunMinutes is the median run time, in minutes.
	medianRunMinutes float64
	urgent           bool
	atMostOnce       bool
	// savesProgress is set when a stopped job saves its progress.
	savesProgress bool
}

// classes are the users' jobs: Skimworks' route plans and reconciliations, the feed
// buyers' assays, the Bureau's renders, reprints and barcode batches, and the batch
// jobs of the co-ops, which have no guarantee.
var classes = []class{
	{name: "routePlan", organisation: "skimworks", slotTimeShare: 0.14, members: []int{2, 4, 8}, slots: []int{8}, adjacency: rack.AdjacencyRack, medianRunMinutes: 12, urgent: true},
	{name: "assay", organisation: "feedBuyers", slotTimeShare: 0.10, members: []int{1}, slots: []int{1, 2}, adjacency: rack.AdjacencyAny, medianRunMinutes: 10},
	{name: "reconciliation", organisation: "skimworks", slotTimeShare: 0.04, members: []int{1}, slots: []int{1}, adjacency: rack.AdjacencyAny, medianRunMinutes: 30, atMostOnce: true},
	{name: "render", organisation: "bureau", slotTimeShare: 0.30, members: []int{16, 32, 64}, slots: []int{1}, adjacency: rack.AdjacencyRack, medianRunMinutes: 60, savesProgress: true},
	{name: "reprint", organisation: "bureau", slotTimeShare: 0.07, members: []int{1}, slots: []int{1}, adjacency: rack.AdjacencyAny, medianRunMinutes: 8},
	{name: "barcodeBatch", organisation: "bureau", slotTimeShare: 0.05, members: []int{1}, slots: []int{2}, adjacency: rack.AdjacencyAny, medianRunMinutes: 20, atMostOnce: true},
	{name: "batch", organisation: "coops", slotTimeShare: 0.30, members: []int{1, 2}, slots: []int{1, 2, 4, 8}, adjacency: rack.AdjacencyAny, medianRunMinutes: 90, savesProgress: true},
}

// guarantees returns the guaranteed shapes by organisation, in proportion to the
// number of workers: Skimworks and the Bureau have large ones, the feed buyers a
// small one and the co-ops none.
func guarantees(workers int) map[string]rack.Shape {
	racks := workers / rack.WorkersPerRack
	return map[string]rack.Shape{
		"skimworks":  {rack.LevelRack: max(1, racks/4), rack.LevelFour: 1},
		"bureau":     {rack.LevelRack: max(1, racks/3)},
		"feedBuyers": {rack.LevelWorker: max(1, workers/16)},
		"coops":      {},
	}
}

// withDefaults returns s with the defaults for zero fields.
func (s Settings) withDefaults() Settings {
	setDefault := func(p *float64, v float64) {
		if *p == 0 {
			*p = v
		}
	}
	setDefault(&s.Days, 1)
	setDefault(&s.TargetUtilisation, 0.8)
	setDefault(&s.MaxRunTimeError, 10)
	setDefault(&s.UnplaceableShare, 0.01)
	setDefault(&s.CancelIntervalHours, 6)
	setDefault(&s.CancelShare, 0.2)
	setDefault(&s.BurstIntervalHours, 2)
	if s.Workers == 0 {
		s.Workers = 48
	}
	if s.BrokenWorkers == 0 {
		s.BrokenWorkers = 1
	}
	if s.BurstSize == 0 {
		s.BurstSize = 30
	}
	if s.GangAgeLimit == 0 {
		s.GangAgeLimit = 3600 * 1000
	}
	return s
}
