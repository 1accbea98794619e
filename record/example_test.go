package record_test

import (
	"fmt"

	"github.com/limpetrelay/limpetrelay/record"
)

func ExampleEncode() {
	b, err := record.Encode([]record.Record{{
		Host: "e1", Incarnation: "e1.1", Sequence: 1, Cancel: &record.Cancel{Job: "j-1", By: "clerk"},
	}})
	fmt.Println(err)
	batch, err := record.Decode(b)
	fmt.Println(batch[0].Cancel.Job, err)
	// Output:
	// <nil>
	// j-1 <nil>
}
