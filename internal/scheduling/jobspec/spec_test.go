package jobspec_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/limpetrelay/limpetrelay/internal/scheduling/jobspec"
	"github.com/limpetrelay/limpetrelay/wire"
)

// Guards against large records of a job's progress with its tasks, which are also read
// over the slow link between regions.
func TestProgressIsSmall(t *testing.T) {
	for _, n := range []int{1, 40, 1000} {
		tasks := make([]jobspec.Task, n)
		for i := range tasks {
			tasks[i] = jobspec.Task{Phase: jobspec.Placed, Run: 2, Worker: "i-7f3a91c2aa", Lifetime: 1_788_248_341_273, Checkpoint: "00000bb87a21d94b"}
		}
		p := jobspec.Progress{Term: 8860, State: jobspec.Running, Started: true, Occurrences: [][][]jobspec.Task{{tasks}}}
		size := func() int {
			b, err := wire.Encode(&p)
			require.NoError(t, err)
			return len(b)
		}
		assert.Less(t, size(), min(40+50*n, 80+25*n), "placed, with checkpoints, %d tasks", n)
		for i := range tasks {
			tasks[i].Checkpoint = ""
		}
		assert.Less(t, size(), min(40+50*n, 80+3*n), "placed, %d tasks", n)
		for i := range tasks {
			tasks[i].Checkpoint = "00000bb87a21d94b"
		}
		for i := range tasks {
			tasks[i].Requeue()
		}
		assert.Less(t, size(), 40+25*n, "waiting, with checkpoints, %d tasks", n)
		for i := range tasks {
			tasks[i].Finish()
		}
		assert.Less(t, size(), 40+2*n, "done, %d tasks", n)
	}
}

func TestRoundsKeepEverything(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	for n := range 40 {
		want := jobspec.Occurrences{nil, make([][]jobspec.Task, 2)}
		for i := range want[1] {
			want[1][i] = make([]jobspec.Task, n)
			for k := range want[1][i] {
				task := jobspec.Task{Phase: jobspec.Phase(r.IntN(3)), Run: r.IntN(3), Failures: r.IntN(2)}
				if r.IntN(3) == 0 {
					task.Checkpoint = "00000bb87a21d94b"
				}
				if task.Phase == jobspec.Placed {
					task.Worker, task.Lifetime = fmt.Sprint("w", r.IntN(4)), 1_788_248_341_273
				}
				want[1][i][k] = task
			}
		}
		b, err := wire.Encode(&jobspec.Progress{Occurrences: want})
		require.NoError(t, err)
		var got jobspec.Progress
		require.NoError(t, wire.Decode(b, &got))
		assert.Equal(t, want, got.Occurrences, "%d tasks", n)
		for cut := range b {
			var p jobspec.Progress
			require.Error(t, wire.Decode(b[:cut], &p), "a cut record is an error")
		}
	}
}

func TestFit(t *testing.T) {
	need := jobspec.Resources{Cores: 26_000, Memory: 75_000, Accelerators: 2}
	for _, c := range []struct {
		free  jobspec.Resources
		limit int
		want  int
	}{
		{jobspec.Resources{}, 5, 0},
		{jobspec.Resources{Cores: 64_000, Memory: 262_144, Accelerators: 8}, 5, 2},
		{jobspec.Resources{Cores: 64_000, Memory: 262_144, Accelerators: 8}, 1, 1},
		{jobspec.Resources{Cores: 640_000, Memory: 2_621_440, Accelerators: 3}, 5, 1},
		{jobspec.Resources{Cores: -1, Memory: 1 << 30, Accelerators: 8}, 5, 0},
	} {
		assert.Equal(t, c.want, need.Fit(c.free, c.limit), "%+v", c)
	}
	assert.Equal(t, 3, (jobspec.Resources{}).Fit(jobspec.Resources{}, 3), "what needs nothing fits everywhere")
}

func TestChain(t *testing.T) {
	s := jobspec.Spec{Stretch: 2, Slack: 100, Steps: []jobspec.Step{
		{Tasks: 1, Estimate: 10}, {Tasks: 1, Estimate: 20}, {Tasks: 1, Estimate: 5, After: []int{0, 1}},
	}}
	assert.Equal(t, int64(25), s.CriticalPath())
	assert.Equal(t, int64(150), s.Objective())
}
