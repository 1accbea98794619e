package ledger_test

import (
	"fmt"

	"github.com/limpetrelay/limpetrelay/config"
	"github.com/limpetrelay/limpetrelay/ledger"
	"github.com/limpetrelay/limpetrelay/record"
)

func ExampleLedger_Apply() {
	var l ledger.Ledger
	patch := record.Record{Host: "e1", Incarnation: "e1.1", Sequence: 1, Patch: &config.Patch{
		Author: "op", Changes: []config.Change{{SetClass: &config.NamedClass{Name: "routePlan"}}},
	}}
	v := l.Apply(0, patch)
	fmt.Println(v.Version, v.Err)
	fmt.Println(l.Apply(1, patch).Repeat)
	patch.Sequence = 2
	fmt.Println(l.Apply(2, patch).Err != nil, l.Config.Version)
	// Output:
	// 1 <nil>
	// true
	// true 1
}

func ExampleJoiner() {
	var l ledger.Ledger
	data, err := l.Snapshot()
	if err != nil {
		fmt.Println(err)
		return
	}
	var j ledger.Joiner
	for _, c := range ledger.SplitSnapshot("e1.1-0", 0, data) {
		j.Add(c)
	}
	again, err := ledger.Restore(j.Data)
	fmt.Println(again.Next, err)
	// Output: 0 <nil>
}
