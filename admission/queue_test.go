package admission_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/limpetrelay/limpetrelay/admission"
)

func TestAdmitGoesByTheHead(t *testing.T) {
	q := admission.Queue{TargetWait: 100}
	require.True(t, q.Admit("a", 0))
	for i := range 1000 {
		q.Push("a", fmt.Sprint(i), 0)
	}
	require.True(t, q.Admit("a", 100), "a long queue whose head has waited for the target")
	require.False(t, q.Admit("a", 101))
	require.True(t, q.Admit("b", 101), "the queue of another organisation")
	q.Dispatch(func(id string) bool { return id != "5" })
	require.Equal(t, 995, q.Len())
	require.False(t, q.Admit("a", 101))
	q.Dispatch(func(string) bool { return true })
	require.Zero(t, q.Len())
	require.True(t, q.Admit("a", 101))
}

func TestLinesKeepTheirOrder(t *testing.T) {
	var q admission.Queue
	q.Push("a", "late", 30)
	q.Push("a", "early", 10)
	q.Push("a", "middle", 20)
	q.Push("a", "middle2", 20)
	var got []string
	q.Dispatch(func(id string) bool { got = append(got, id); return true })
	require.Equal(t, []string{"early", "middle", "middle2", "late"}, got)
}

func ExampleQueue_Dispatch() {
	var q admission.Queue
	for i := range 3 {
		q.Push("bureau", fmt.Sprintf("reprint-%d", i), 0)
	}
	q.Push("skimworks", "assay-0", 0)
	capacity := 3
	q.Dispatch(func(id string) bool {
		if capacity == 0 {
			return false
		}
		capacity--
		fmt.Println(id)
		return true
	})
	fmt.Println(q.Len(), "left")
	// Output:
	// reprint-0
	// assay-0
	// reprint-1
	// 1 left
}
