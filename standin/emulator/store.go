// Package emulator serves stand-ins for the users' platform on loopback: the store
// of records by key, and workers that take orders. They speak the platform's own
// protocol and misbehave on demand.
package emulator

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Store is a stand-in for the store. The zero value is empty and ready.
type Store struct {
	mu     sync.Mutex
	topics map[string]*topic
	down   bool
	slow   time.Duration
	lost   float64
}

// topic is one partition.
type topic struct {
	// records starts at offset first.
	records []record
	first   uint64
	newest  map[string]record
	writers map[string]*writer
	// grown is closed when a record is added.
	grown chan struct{}
}

type record struct {
	offset uint64
	raw    []byte
	key    string
	value  []byte
}

// writer is what the store remembers of one that writes under epochs.
type writer struct {
	epoch, next uint64
	answers     map[uint64]appendAnswer
}

// remembered is the number of appends whose repeats get the first answer.
const remembered = 5

type appendAnswer struct {
	Offset uint64 `json:"offset"`
	End    uint64 `json:"end"`
	Reason string `json:"reason,omitempty"`
}

// SetDown makes the store refuse all calls, or serve again.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// SetDelay delays each answer.
func (s *Store) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slow = d
}

// SetLossRate makes the store carry out a share of the appends without an answer.
func (s *Store) SetLossRate(share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lost = share
}

// DropHistory drops all records but the newest of each key.
func (s *Store) DropHistory(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	t.first += uint64(len(t.records))
	t.records = nil
}

// Put writes a record for a party that is not the system, and returns its offset. A
// nil value drops the key.
func (s *Store) Put(name, key string, value []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	raw := append([]byte{byte(len(key))}, key...)
	return s.topic(name).add(append(raw, value...))
}

// Newest returns the newest value of a key; nil for none.
func (s *Store) Newest(name, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.topic(name).newest[key].value
}

func (s *Store) topic(name string) *topic {
	if s.topics == nil {
		s.topics = make(map[string]*topic)
	}
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: make(map[string]record), writers: make(map[string]*writer), grown: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

func (t *topic) end() uint64 { return t.first + uint64(len(t.records)) }

// add appends a record in the store's own form.
func (t *topic) add(raw []byte) uint64 {
	r := record{offset: t.end(), raw: raw}
	if len(raw) > 0 && len(raw) > int(raw[0]) {
		r.key, r.value = string(raw[1:1+raw[0]]), raw[1+raw[0]:]
	}
	t.records = append(t.records, r)
	if len(r.value) == 0 {
		delete(t.newest, r.key)
	} else {
		t.newest[r.key] = r
	}
	close(t.grown)
	t.grown = make(chan struct{})
	return r.offset
}

// Handler serves the store.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /log-append", s.guard(s.append))
	mux.HandleFunc("GET /log-read", s.guard(s.read))
	mux.HandleFunc("GET /log-newest", s.guard(s.newestOf))
	return mux
}

// guard refuses or delays calls as the faults ask for.
func (s *Store) guard(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		down, slow := s.down, s.slow
		s.mu.Unlock()
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		time.Sleep(slow)
		next(w, r)
	}
}

func (s *Store) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	q := r.URL.Query()
	s.mu.Lock()
	status, a := s.topic(q.Get("topic")).append(q, body)
	lost := status == http.StatusOK && rand.Float64() < s.lost
	s.mu.Unlock()
	if lost {
		<-r.Context().Done()
		return
	}
	reply(w, status, a)
}

// append carries out an append.
func (t *topic) append(q map[string][]string, body []byte) (int, appendAnswer) {
	get := func(k string) string {
		if v := q[k]; len(v) > 0 {
			return v[0]
		}
		return ""
	}
	number := func(k string) uint64 {
		n, err := strconv.ParseUint(get(k), 10, 64)
		if err != nil {
			return 0
		}
		return n
	}
	name := get("producer")
	epoch, sequence := number("epoch"), number("sequence")
	p := t.writers[name]
	if name != "" && p != nil {
		if status, a := p.check(epoch, sequence, t.end()); status != 0 {
			return status, a
		}
	}
	if get("at") != "" && number("at") != t.end() {
		return http.StatusPreconditionFailed, appendAnswer{End: t.end()}
	}
	a := appendAnswer{Offset: t.end()}
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		t.add(append([]byte(nil), body[4:4+n]...))
		body = body[4+n:]
	}
	a.End = t.end()
	if name != "" {
		if p == nil || epoch > p.epoch {
			p = &writer{epoch: epoch, answers: make(map[uint64]appendAnswer)}
			t.writers[name] = p
		}
		p.next = sequence + 1
		p.answers[sequence] = a
		if sequence >= remembered {
			delete(p.answers, sequence-remembered)
		}
	}
	return http.StatusOK, a
}

// check returns the answer to an append that must not be carried out, or status 0.
func (p *writer) check(epoch, sequence, end uint64) (int, appendAnswer) {
	if a, ok := p.answers[sequence]; ok && epoch == p.epoch {
		return http.StatusOK, a
	}
	if epoch < p.epoch {
		return http.StatusConflict, appendAnswer{Reason: "fenced", End: end}
	}
	if epoch == p.epoch && sequence != p.next {
		return http.StatusConflict, appendAnswer{Reason: "seq", End: end}
	}
	return 0, appendAnswer{}
}

func (s *Store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, err := strconv.ParseUint(q.Get("from"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ms, err := strconv.Atoi(q.Get("wait_ms"))
	if err != nil {
		ms = 0
	}
	deadline := time.NewTimer(time.Duration(ms) * time.Millisecond)
	defer deadline.Stop()
	for waited := false; ; {
		s.mu.Lock()
		t := s.topic(q.Get("topic"))
		if from < t.first {
			first := t.first
			s.mu.Unlock()
			reply(w, http.StatusGone, map[string]uint64{"first": first})
			return
		}
		if from < t.end() || waited || ms == 0 {
			b := t.page(from)
			s.mu.Unlock()
			if _, err := w.Write(b); err != nil {
				return
			}
			return
		}
		grown := t.grown
		s.mu.Unlock()
		select {
		case <-grown:
		case <-deadline.C:
			waited = true
		case <-r.Context().Done():
			return
		}
	}
}

// page returns the answer to a read.
func (t *topic) page(from uint64) []byte {
	b := binary.BigEndian.AppendUint64(nil, t.end())
	b = binary.BigEndian.AppendUint64(b, t.first)
	for i := from; i < t.end(); i++ {
		raw := t.records[i-t.first].raw
		b = binary.BigEndian.AppendUint32(b, uint32(len(raw)))
		b = append(b, raw...)
	}
	return b
}

type newestItem struct {
	Key    string `json:"key"`
	Value  string `json:"value"`
	Offset uint64 `json:"offset"`
}

type newestAnswer struct {
	Items []newestItem `json:"items"`
	More  bool         `json:"has_more"`
	End   uint64       `json:"end"`
}

// newestPage is the number of records in one answer.
const newestPage = 500

func (s *Store) newestOf(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	t := s.topic(q.Get("topic"))
	a := newestAnswer{Items: []newestItem{}, End: t.end()}
	for _, k := range slices.Sorted(maps.Keys(t.newest)) {
		if k <= q.Get("after") && q.Get("after") != "" {
			continue
		}
		if len(a.Items) == newestPage {
			a.More = true
			break
		}
		n := t.newest[k]
		a.Items = append(a.Items, newestItem{Key: k, Value: base64.StdEncoding.EncodeToString(n.value), Offset: n.offset})
	}
	s.mu.Unlock()
	reply(w, http.StatusOK, a)
}

func reply(w http.ResponseWriter, status int, body any) {
	b, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A caller that went away is no fault of the store.
	_, _ = w.Write(b)
}
