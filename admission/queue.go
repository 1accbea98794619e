package admission

import "slices"

// DefaultTarget is the default of Queue.Target, in milliseconds.
const DefaultTargetWait = 500

// Queue holds waiting requests per organisation. The zero value is ready. It
// must not be used by two goroutines at once.
type Queue struct {
	// Target is the wait of the oldest request, in milliseconds, from which on
	// an organisation's new requests are refused; 0 means DefaultTarget.
	TargetWait int64

	lines map[string][]waiting
	// turns lists the organisations with a line; the first has the next turn.
	turns []string
	count int
}

// waiting is one request in a line.
type waiting struct {
	id    string
	since int64
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return q.count }

// Admit reports whether a new request of an organisation may wait. It may not
// when the organisation's oldest request has waited for longer than Target.
func (q *Queue) Admit(org string, now int64) bool {
	target := q.TargetWait
	if target == 0 {
		target = DefaultTargetWait
	}
	line := q.lines[org]
	return len(line) == 0 || now-line[0].since <= target
}

// Push enters a request, whether admitted or not: requests that have begun are
// not refused any more. since is when it began to wait; lines are in its order.
func (q *Queue) Push(org, id string, since int64) {
	if q.lines == nil {
		q.lines = map[string][]waiting{}
	}
	line := q.lines[org]
	if len(line) == 0 {
		q.turns = append(q.turns, org)
	}
	i, _ := slices.BinarySearchFunc(line, since, func(w waiting, s int64) int {
		if w.since <= s {
			return -1
		}
		return 1
	})
	q.lines[org] = slices.Insert(line, i, waiting{id: id, since: since})
	q.count++
}

// Turn offers waiting requests to start, one organisation after the other. When
// start returns false, the request stays at the head of its line and the
// organisation's turn is over. Turn returns once every turn is over.
func (q *Queue) StartWaiting(start func(id string) bool) {
	blocked := map[string]bool{}
	for len(blocked) < len(q.turns) {
		org := q.turns[0]
		q.turns = append(q.turns[1:], org)
		if blocked[org] {
			continue
		}
		line := q.lines[org]
		if !start(line[0].id) {
			blocked[org] = true
			continue
		}
		q.count--
		q.lines[org] = line[1:]
		if len(line) == 1 {
			delete(q.lines, org)
			q.turns = q.turns[:len(q.turns)-1]
		}
	}
}
