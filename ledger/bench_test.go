package ledger_test

import (
	"fmt"
	"testing"

	"github.com/limpetrelay/limpetrelay/config"
	"github.com/limpetrelay/limpetrelay/job"
	"github.com/limpetrelay/limpetrelay/ledger"
	"github.com/limpetrelay/limpetrelay/rack"
	"github.com/limpetrelay/limpetrelay/record"
)

// workerCounts are the numbers of workers to measure.
var workerCounts = []int{50, 200, 870, 2000}

// populatedLedger returns a ledger with n workers, 22 organisations, one running gang
// of eight tasks per two workers, and the jobs that end in a day at the target rate.
// It also returns the number of records applied and the sum of their encoded sizes,
// in bytes.
func populatedLedger(n int) (l *ledger.Ledger, records, size int) {
	l = &ledger.Ledger{}
	seq := uint64(0)
	write := func(r record.Record) {
		seq++
		r.Host, r.Incarnation, r.Sequence, r.At = "e1", "e1.1", seq, 1_800_000_000_000
		if b, err := record.Encode([]record.Record{r}); err == nil {
			size += len(b)
		}
		v := l.Apply(seq-1, r)
		l.Advance(seq - 1)
		if v.Err != nil {
			panic(v.Err)
		}
	}
	write(record.Record{Claim: &record.Claim{DataCentre: dc, Term: 1}})
	for i := range n {
		write(record.Record{Worker: &record.Worker{
			Name: fmt.Sprintf("w%04d", i), DataCentre: dc, Rack: fmt.Sprintf("r%03d", i/8), Address: "10.0.0.1:7000", Slots: 8,
			Accelerated: true, Incarnation: "5f0c9d1e-3f1b-4f0a-9a51-0d6a5f3f2b11", Term: 1, State: record.Live,
		}})
	}
	p := &config.Patch{Author: "op"}
	for i := range 22 {
		p.Changes = append(p.Changes, config.Change{SetOrganisation: &config.NamedOrganisation{
			Name: fmt.Sprintf("team-%d", i), Organisation: config.Organisation{MaxQueued: 100_000, Guarantee: map[string]rack.Shape{dc: {n / 8}}},
		}})
	}
	write(record.Record{Patch: p})
	running, ended := n/2, n*820/870
	for i := range running + ended {
		id := fmt.Sprintf("5f0c9d1e-3f1b-4f0a-9a51-0d6a5f3f2b11-%d", i)
		spec := job.Spec{Organisation: fmt.Sprintf("team-%d", i%22), Class: "long", Members: 8, Accelerators: 1, Key: fmt.Sprint(i), Payload: make([]byte, 200)}
		write(record.Record{Accept: &record.Accept{Job: id, Spec: spec, DataCentre: dc}})
		if i < running {
			place := &record.Place{Job: id, Attempt: 1, Term: 1}
			w := fmt.Sprintf("w%04d", i)
			for k := range 8 {
				place.Members = append(place.Members, record.Member{Worker: w, Incarnation: "5f0c9d1e-3f1b-4f0a-9a51-0d6a5f3f2b11", Mask: 1 << k})
			}
			write(record.Record{Place: place})
			continue
		}
		o := job.Outcome{Result: job.Completed}
		for k := range 8 {
			o.Answers = append(o.Answers, job.Answer{Task: fmt.Sprintf("%s/1/%d", id, k), Worker: "w0001", Size: 1000, Sum: "623210167553939c87ed8c5f2bfe0b3e0684e12c3a3dd2513613c4e67263b5a1"})
		}
		write(record.Record{End: &record.End{Job: id, Attempt: 0, Term: 1, Outcome: o, RunTime: 3_600_000}})
	}
	return l, int(seq), size
}

func BenchmarkSnapshot(b *testing.B) {
	for _, n := range workerCounts {
		b.Run(fmt.Sprintf("workers=%d", n), func(b *testing.B) {
			l, _, _ := populatedLedger(n)
			b.ReportAllocs()
			size := 0
			for b.Loop() {
				data, err := l.Snapshot()
				if err != nil {
					b.Fatal(err)
				}
				size = len(data)
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}

func BenchmarkRestore(b *testing.B) {
	for _, n := range workerCounts {
		b.Run(fmt.Sprintf("workers=%d", n), func(b *testing.B) {
			l, _, _ := populatedLedger(n)
			data, err := l.Snapshot()
			if err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for b.Loop() {
				if _, err := ledger.Restore(data); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func BenchmarkRecords(b *testing.B) {
	for _, n := range workerCounts {
		b.Run(fmt.Sprintf("workers=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			records, size := 0, 0
			for b.Loop() {
				_, records, size = populatedLedger(n)
			}
			b.ReportMetric(float64(size)/float64(records), "bytes/record")
			b.ReportMetric(float64(records)*float64(b.N)/b.Elapsed().Seconds(), "records/s")
		})
	}
}

func BenchmarkCheck(b *testing.B) {
	for _, n := range workerCounts {
		b.Run(fmt.Sprintf("workers=%d", n), func(b *testing.B) {
			l, _, _ := populatedLedger(n)
			for b.Loop() {
				l.CheckInvariants()
			}
		})
	}
}
