package admission

import "slices"

// DefaultTargetWait is the default of Queue.TargetWait, in milliseconds.
const DefaultTargetWait = 500

// Queue holds waiting requests per organisation. The zero value is ready to use.
// A Queue is not safe for concurrent use.
type Queue struct {
	// TargetWait bounds the wait of an organisation's oldest request, in
	// milliseconds. While the wait is longer, new requests of the organisation are
	// rejected. 0 means DefaultTargetWait.
	TargetWait int64

	// queues is keyed by organisation and has no empty queues.
	queues map[string][]waitingRequest
	// rotation lists the organisations with waiting requests in round-robin order;
	// the first one is served next.
	rotation []string
	count    int
}

// waitingRequest is one request in a queue.
type waitingRequest struct {
	id string
	// since is when the request began to wait, in milliseconds.
	since int64
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return q.count }

// Admit reports whether a new request of an organisation may be queued. It must
// be rejected when the organisation's oldest request has waited for longer than
// TargetWait. now is in milliseconds.
func (q *Queue) Admit(org string, now int64) bool {
	target := q.TargetWait
	if target == 0 {
		target = DefaultTargetWait
	}
	queue := q.queues[org]
	return len(queue) == 0 || now-queue[0].since <= target
}

// Push queues a request. It does not check Admit: a request that was admitted once
// is not rejected when it is queued again. since is when the request began to
// wait, in milliseconds; each queue is sorted by it.
func (q *Queue) Push(org, id string, since int64) {
	if q.queues == nil {
		q.queues = map[string][]waitingRequest{}
	}
	queue := q.queues[org]
	if len(queue) == 0 {
		q.rotation = append(q.rotation, org)
	}
	i, _ := slices.BinarySearchFunc(queue, since, func(w waitingRequest, s int64) int {
		if w.since <= s {
			return -1
		}
		return 1
	})
	q.queues[org] = slices.Insert(queue, i, waitingRequest{id: id, since: since})
	q.count++
}

// Dispatch calls start with waiting requests, round-robin over the organisations.
// A request leaves its queue when start returns true. When start returns false,
// the request stays at the head of its queue and the organisation is skipped for
// the rest of the call. Dispatch returns once every organisation is skipped or has
// no waiting requests.
func (q *Queue) Dispatch(start func(id string) bool) {
	blocked := map[string]bool{}
	for len(blocked) < len(q.rotation) {
		org := q.rotation[0]
		q.rotation = append(q.rotation[1:], org)
		if blocked[org] {
			continue
		}
		queue := q.queues[org]
		if !start(queue[0].id) {
			blocked[org] = true
			continue
		}
		q.count--
		q.queues[org] = queue[1:]
		if len(queue) == 1 {
			delete(q.queues, org)
			q.rotation = q.rotation[:len(q.rotation)-1]
		}
	}
}
