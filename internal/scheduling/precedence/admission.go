package precedence

import "math"

// UsefulTime is the multiple of its objective until which the completion of a job is of use to its
// caller, according to the operators: what ends later counts as not served.
const UsefulTime = 3

// Admit decides whether a job may wait in a queue. wait is how long the queue's jobs wait at present,
// path the run time of the job's longest chain of steps, and objective the time within which it should
// end, all in milliseconds. If the job could not end while that is of use, but could in an idle queue,
// it is turned away, and retryAfter is how long the queue needs to drain until it could.
func Admit(wait, path, objective int64) (retryAfter int64, ok bool) {
	useful := UsefulTime * objective
	if path <= 0 || path > useful || wait+path <= useful {
		return 0, true
	}
	return wait + path - useful, false
}

// Drain estimates how long jobs wait in a queue from how fast it drains. The zero value is an idle
// queue. Times are in milliseconds.
type Drain struct {
	// rate is the number of jobs that begin in a millisecond, averaged exponentially, as of at. It
	// was 0 at since.
	rate      float64
	at, since int64
	// begunAt is when a job last began.
	begunAt int64
}

// drainPeriod is the period over which the rate of a queue is averaged, in milliseconds. It is longer
// than the bursts of a few seconds after which a queue drains as before.
const drainPeriod = 20_000

// Begin records that a job of the queue has begun.
func (d *Drain) Begin(now int64) {
	if d.rate == 0 {
		d.since = now
	}
	d.decay(now)
	d.begunAt = now
	d.rate += 1.0 / drainPeriod
}

// decay lets the rate fall by the time since the last change.
func (d *Drain) decay(now int64) {
	if elapsed := float64(now - d.at); elapsed > 0 {
		d.rate *= math.Exp(-elapsed / drainPeriod)
		d.at = now
	}
}

// Wait returns how long a queue in which n jobs wait needs until all have begun; 0 if that can't be
// computed, since too few have begun or wait.
func (d *Drain) Wait(now int64, n int) int64 {
	d.decay(now)
	if n < minQueue || d.rate*drainPeriod < minBegun || now-d.begunAt > drainPeriod {
		return 0
	}
	// The average has not seen what came before since.
	seen := 1 - math.Exp(-float64(now-d.since)/drainPeriod)
	return int64(float64(n) * seen / d.rate)
}

const (
	// minQueue is the number of waiting jobs from which on a queue's wait is reported: a few jobs of
	// one caller are no backlog.
	minQueue = 10
	// minBegun is the number of jobs that must have begun within about drainPeriod for that.
	minBegun = 3
)
