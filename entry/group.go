package entry

import "context"

// group tracks goroutines so that its owner can wait until all have ended. Each
// sends its name on done when it ends. The zero value is ready to use. Only the
// owner may call its methods.
type group struct {
	// running is the number of goroutines whose end has not been read.
	running int
	done    chan string
}

// start runs fn in a goroutine of the group.
func (g *group) start(ctx context.Context, name string, fn func(context.Context)) {
	done := g.doneChannel()
	g.running++
	go func() {
		fn(ctx)
		done <- name
	}()
}

// doneChannel returns the channel on which goroutines send their names when they
// end. The owner must call markDone for each value that it reads.
func (g *group) doneChannel() chan string {
	if g.done == nil {
		g.done = make(chan string)
	}
	return g.done
}

// markDone records that the owner has read the end of one goroutine.
func (g *group) markDone() { g.running-- }

// wait blocks until all goroutines of the group have ended.
func (g *group) wait() {
	for g.running > 0 {
		<-g.doneChannel()
		g.markDone()
	}
}
