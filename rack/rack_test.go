package rack_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/limpetrelay/limpetrelay/fault"
	"github.com/limpetrelay/limpetrelay/rack"
)

// forest returns n workers of eight slots, eight per rack.
func forest(n int) rack.Forest {
	var f rack.Forest
	for i := range n {
		f.Add(rack.Node{Name: fmt.Sprintf("w%04d", i), Rack: fmt.Sprintf("r%04d", i/8), Slots: 8})
	}
	return f
}

func TestBlocks(t *testing.T) {
	for _, c := range []struct {
		free rack.Mask
		want string
	}{
		{0x00, "nothing"}, {0xff, "1 worker"}, {0x0f, "1 four"}, {0xf0, "1 four"}, {0x3c, "2 pair"},
		{0x7f, "1 four, 1 pair, 1 slot"}, {0xfe, "1 four, 1 pair, 1 slot"}, {0x55, "4 slot"}, {0x66, "4 slot"},
	} {
		require.Equal(t, c.want, c.free.Blocks().String(), "%08b", c.free)
	}
}

func TestBestBlockBreaksTheSmallest(t *testing.T) {
	for _, c := range []struct {
		free  rack.Mask
		level rack.Level
		want  rack.Mask
		split rack.Level
		ok    bool
	}{
		{0xff, rack.LevelSlot, 0x01, rack.LevelWorker, true},
		{0xf1, rack.LevelSlot, 0x01, rack.LevelSlot, true},
		{0xf3, rack.LevelSlot, 0x01, rack.LevelPair, true},
		{0xfc, rack.LevelPair, 0x0c, rack.LevelPair, true},
		{0x3c, rack.LevelFour, 0, 0, false},
		{0xff, rack.LevelWorker, 0xff, rack.LevelWorker, true},
		{0x7f, rack.LevelWorker, 0, 0, false},
	} {
		block, split, ok := c.free.BestBlock(c.level)
		require.Equal(t, c.ok, ok)
		if ok {
			require.Equal(t, c.want, block)
			require.Equal(t, c.split, split)
		}
	}
}

func TestMissing(t *testing.T) {
	for _, c := range []struct{ have, need, want rack.Shape }{
		{rack.Shape{}, rack.Shape{1}, rack.Shape{1}},
		{rack.Shape{0, 0, 0, 0, 1}, rack.Shape{64}, rack.Shape{}},
		{rack.Shape{0, 0, 0, 0, 1}, rack.Shape{65}, rack.Shape{1}},
		{rack.Shape{0, 0, 0, 8, 0}, rack.Shape{0, 0, 0, 0, 1}, rack.Shape{0, 0, 0, 0, 1}},
		{rack.Shape{8}, rack.Shape{0, 0, 0, 1}, rack.Shape{0, 0, 0, 1}},
		{rack.Shape{2, 1, 0, 1}, rack.Shape{4, 2, 1, 0}, rack.Shape{}},
		{rack.Shape{2, 1, 0, 1}, rack.Shape{5, 2, 1, 0}, rack.Shape{1}},
	} {
		require.Equal(t, c.want, c.have.Missing(c.need), "%v from %v", c.need, c.have)
	}
}

// TestMissingMatchesPlacement checks the arithmetic of Shape.Missing against a
// placement that allocates the cells level by level, largest first.
func TestMissingMatchesPlacement(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := forest(rapid.IntRange(1, 17).Draw(rt, "workers"))
		for i := range f.Nodes {
			f.Nodes[i].Used = rack.Mask(rapid.Uint8().Draw(rt, "used"))
		}
		var need rack.Shape
		for l := range rack.LevelRack {
			need[l] = rapid.IntRange(0, 6).Draw(rt, "need")
		}
		fits := f.CanAllocate(need)
		placed := true
		for l := rack.LevelWorker; placed; l-- {
			if need[l] > 0 {
				cells, ok := f.Place(rack.Need{Members: need[l], Level: l, Adjacency: rack.AdjacencyAny}, rack.BestFit)
				placed = ok && f.Allocate(cells)
			}
			if l == rack.LevelSlot {
				break
			}
		}
		require.Equal(rt, placed, fits)
	})
}

func TestPlaceKeepsAdjacency(t *testing.T) {
	f := forest(16)
	f.Nodes[0].Used = 0xff
	cells, ok := f.Place(rack.Need{Members: 8, Level: rack.LevelWorker, Adjacency: rack.AdjacencyRack}, rack.BestFit)
	require.True(t, ok)
	for _, c := range cells {
		require.Equal(t, "r0001", f.Node(c.Node).Rack)
	}
	_, ok = f.Place(rack.Need{Members: 9, Level: rack.LevelWorker, Adjacency: rack.AdjacencyRack}, rack.BestFit)
	require.False(t, ok)
	cells, ok = f.Place(rack.Need{Members: 3, Level: rack.LevelPair, Adjacency: rack.AdjacencyWorker}, rack.BestFit)
	require.True(t, ok)
	require.Equal(t, cells[0].Node, cells[2].Node)
}

func TestTakeIsAllOrNothing(t *testing.T) {
	f := forest(2)
	require.False(t, f.Allocate([]rack.Cell{{Node: "w0000", Mask: 1}, {Node: "none", Mask: 1}}))
	require.Equal(t, 2*rack.SlotsPerWorker, f.Free().Slots())
	require.False(t, f.Allocate([]rack.Cell{{Node: "w0000", Mask: 1}, {Node: "w0000", Mask: 3}}))
	require.Equal(t, 2*rack.SlotsPerWorker, f.Free().Slots())
}

func TestShapeJSON(t *testing.T) {
	var s rack.Shape
	require.NoError(t, json.Unmarshal([]byte(`{"rack":1,"four":2}`), &s))
	require.Equal(t, "1 rack, 2 four", s.String())
	for _, bad := range []string{`{"shelf":1}`, `{"rack":-1}`, `{"rack":1000000000}`, `[1]`, `{"rack":"x"}`} {
		require.Equal(t, fault.Invalid, fault.KindOf(json.Unmarshal([]byte(bad), &s)), bad)
	}
}

func ExampleShape_Missing() {
	free := rack.Shape{rack.LevelWorker: 2, rack.LevelFour: 1}
	fmt.Println(free.Missing(rack.Shape{rack.LevelWorker: 3}))
	fmt.Println(free.Missing(rack.Shape{rack.LevelPair: 10}))
	// Output:
	// 1 worker
	// nothing
}

func ExampleForest_Place() {
	f := rack.Forest{}
	f.Add(rack.Node{Name: "w1", Rack: "r1", Slots: 8, Used: 0x0f})
	f.Add(rack.Node{Name: "w2", Rack: "r1", Slots: 8})
	cells, _ := f.Place(rack.Need{Members: 1, Level: rack.LevelFour, Adjacency: rack.AdjacencyAny}, rack.BestFit)
	fmt.Println(cells[0].Node)
	// Output: w1
}

func BenchmarkPlaceGang64(b *testing.B) {
	for _, n := range []int{50, 200, 870, 2000} {
		b.Run(fmt.Sprintf("workers=%d", n), func(b *testing.B) {
			rnd := rand.New(rand.NewPCG(1, 1))
			f := forest(n)
			for i := range f.Nodes {
				f.Nodes[i].Used = rack.Mask(rnd.IntN(256) & rnd.IntN(256))
			}
			b.ReportAllocs()
			for b.Loop() {
				f.Place(rack.Need{Members: 64, Level: rack.LevelSlot, Adjacency: rack.AdjacencyAny}, rack.BestFit)
			}
		})
	}
}
