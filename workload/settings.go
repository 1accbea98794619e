package workload

import (
	"github.com/limpetrelay/limpetrelay/rack"
)

// Settings are the parameters of the load. Zero fields have defaults, which
// are the brief's sizes of today for one data centre.
type Settings struct {
	// Seed makes the load. Equal seeds give equal loads.
	Seed uint64
	// Days is the length of the load. Default 1.
	Days float64
	// Workers of eight slots, eight workers per rack. Default 48.
	Workers int
	// TargetUtilisation is the offered load as a share of all slots. Default 0.8.
	TargetUtilisation float64
	// MaxRunTimeError is the largest factor by which a declared run time is above
	// or below the true one. Default 10.
	MaxRunTimeError float64
	// UnplaceableShare is the share of jobs that can never run. Default 0.01.
	UnplaceableShare float64
	// BrokenWorkers is the number of workers that fail everything. Default 1; a
	// negative number means none.
	BrokenWorkers int
	// CancelIntervalHours is the time between waves of cancellations, in hours.
	// Default 6.
	CancelIntervalHours float64
	// CancelShare is the share of waiting jobs that a wave cancels.
	// Default 0.2.
	CancelShare float64
	// BurstSize is the number of jobs in a burst. Default 30.
	BurstSize int
	// BurstIntervalHours is the time between bursts, in hours. Default 2.
	BurstIntervalHours float64
	// CompletionWeight and FragmentationWeight are the policy weights.
	CompletionWeight, FragmentationWeight float64
	// GangAgeLimit is the policy's age bound of gangs, in milliseconds. Default
	// one hour.
	GangAgeLimit int64
	// OnlyOrganisation keeps the jobs of one organisation, on its guaranteed shape alone;
	// empty for all. It is used to compare with running alone.
	OnlyOrganisation string
}

// class is a kind of job.
type class struct {
	name         string
	organisation string
	// share of the slot time.
	slotTimeShare float64
	// members and slots per member are drawn from these.
	members, slots []int
	adjacency      rack.Adjacency
	// run is the median run time, in minutes.
	medianRunMinutes float64
	urgent           bool
	atMostOnce       bool
	// keeps is set when the job saves its progress when it is stopped.
	savesProgress bool
}

// classes are the users' jobs: Skimworks' route plans, assays and
// reconciliations, the Bureau's renders, reprints and barcode batches, and
// batch work of an organisation without a guarantee.
var classes = []class{
	{name: "routePlan", organisation: "skimworks", slotTimeShare: 0.14, members: []int{2, 4, 8}, slots: []int{8}, adjacency: rack.AdjacencyRack, medianRunMinutes: 12, urgent: true},
	{name: "assay", organisation: "feedBuyers", slotTimeShare: 0.10, members: []int{1}, slots: []int{1, 2}, adjacency: rack.AdjacencyAny, medianRunMinutes: 10},
	{name: "reconciliation", organisation: "skimworks", slotTimeShare: 0.04, members: []int{1}, slots: []int{1}, adjacency: rack.AdjacencyAny, medianRunMinutes: 30, atMostOnce: true},
	{name: "render", organisation: "bureau", slotTimeShare: 0.30, members: []int{16, 32, 64}, slots: []int{1}, adjacency: rack.AdjacencyRack, medianRunMinutes: 60, savesProgress: true},
	{name: "reprint", organisation: "bureau", slotTimeShare: 0.07, members: []int{1}, slots: []int{1}, adjacency: rack.AdjacencyAny, medianRunMinutes: 8},
	{name: "barcodeBatch", organisation: "bureau", slotTimeShare: 0.05, members: []int{1}, slots: []int{2}, adjacency: rack.AdjacencyAny, medianRunMinutes: 20, atMostOnce: true},
	{name: "batch", organisation: "coops", slotTimeShare: 0.30, members: []int{1, 2}, slots: []int{1, 2, 4, 8}, adjacency: rack.AdjacencyAny, medianRunMinutes: 90, savesProgress: true},
}

// guarantees are the organisations' shapes as a share of all racks: Skimworks
// and the Bureau are large, feed buyers are small, the co-ops have none.
func guarantees(workers int) map[string]rack.Shape {
	racks := workers / rack.WorkersPerRack
	return map[string]rack.Shape{
		"skimworks":  {rack.LevelRack: max(1, racks/4), rack.LevelFour: 1},
		"bureau":     {rack.LevelRack: max(1, racks/3)},
		"feedBuyers": {rack.LevelWorker: max(1, workers/16)},
		"coops":      {},
	}
}

// withDefaults fills in the zero fields.
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
