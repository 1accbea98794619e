// Package emulator serves stand-ins for parts of the users' platform on loopback: the
// keyed store, and workers that execute orders. They implement the platform's protocol
// and inject faults on demand.
package emulator

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"maps"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Store is a stand-in for the keyed store. The zero value is empty and ready for use.
type Store struct {
	mu       sync.Mutex
	topics   map[string]*topic
	down     bool
	delay    time.Duration
	lossRate float64
}

// topic is one partition.
type topic struct {
	// records starts at offset first.
	records []record
	first   uint64
	newest  map[string]record
	writers map[string]*writer
	// appended is closed, and replaced, when a record is added.
	appended chan struct{}
}

type record struct {
	offset uint64
	raw    []byte
	key    string
	value  []byte
}

// writer is the state of a named writer: its highest epoch, the next sequence number in
// it and the answers to its latest appends.
type writer struct {
	epoch, next uint64
	answers     map[uint64]appendResponse
}

// maxRememberedAppends is the number of latest appends of a writer for which a repeat
// gets the first answer.
const maxRememberedAppends = 5

type appendResponse struct {
	Offset uint64 `json:"offset"`
	End    uint64 `json:"end"`
	Reason string `json:"reason,omitempty"`
}

// SetDown makes the store refuse all calls or serve them again.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// SetDelay delays the execution of each call.
func (s *Store) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

// SetLossRate makes the store execute a share of the appends, between 0 and 1, without
// an answer.
func (s *Store) SetLossRate(share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lossRate = share
}

// DropHistory drops all records of a topic except the newest of each key.
func (s *Store) DropHistory(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	t.first += uint64(len(t.records))
	t.records = nil
}

// Put appends a record on behalf of an operator or a worker and returns its offset. A
// nil value deletes the key.
func (s *Store) Put(name, key string, value []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	raw := append([]byte{byte(len(key))}, key...)
	return s.topic(name).appendRecord(append(raw, value...))
}

// Newest returns the newest value of a key, or nil if there is none.
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
		t = &topic{newest: make(map[string]record), writers: make(map[string]*writer), appended: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

func (t *topic) end() uint64 { return t.first + uint64(len(t.records)) }

// appendRecord appends a record in the store's encoding and returns its offset.
func (t *topic) appendRecord(raw []byte) uint64 {
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
	close(t.appended)
	t.appended = make(chan struct{})
	return r.offset
}

// Handler returns the HTTP handler of the store.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /log-append", s.injectFaults(s.append))
	mux.HandleFunc("GET /log-read", s.injectFaults(s.read))
	mux.HandleFunc("GET /log-newest", s.injectFaults(s.readNewest))
	return mux
}

// injectFaults refuses or delays calls according to SetDown and SetDelay.
func (s *Store) injectFaults(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		down, delay := s.down, s.delay
		s.mu.Unlock()
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		time.Sleep(delay)
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
	dropAnswer := status == http.StatusOK && rand.Float64() < s.lossRate
	s.mu.Unlock()
	if dropAnswer {
		<-r.Context().Done()
		return
	}
	writeJSON(w, status, a)
}

// append executes an append and returns the status and the answer.
func (t *topic) append(q map[string][]string, body []byte) (int, appendResponse) {
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
	w := t.writers[name]
	if name != "" && w != nil {
		if status, a := w.check(epoch, sequence, t.end()); status != 0 {
			return status, a
		}
	}
	if get("at") != "" && number("at") != t.end() {
		return http.StatusPreconditionFailed, appendResponse{End: t.end()}
	}
	if !acceptable(body) {
		return http.StatusRequestEntityTooLarge, appendResponse{End: t.end()}
	}
	a := appendResponse{Offset: t.end()}
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		t.appendRecord(append([]byte(nil), body[4:4+n]...))
		body = body[4+n:]
	}
	a.End = t.end()
	if name != "" {
		if w == nil || epoch > w.epoch {
			w = &writer{epoch: epoch, answers: make(map[uint64]appendResponse)}
			t.writers[name] = w
		}
		w.next = sequence + 1
		w.answers[sequence] = a
		if sequence >= maxRememberedAppends {
			delete(w.answers, sequence-maxRememberedAppends)
		}
	}
	return http.StatusOK, a
}

// The limits of the platform on one record, beside its length, and on the records of one append, in
// bytes.
const (
	maxRecordBytes = 256 << 10
	maxAppendBytes = 2 << 20
)

// acceptable reports whether the records of an append are within the limits.
func acceptable(body []byte) bool {
	if len(body) > maxAppendBytes {
		return false
	}
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		if n > maxRecordBytes {
			return false
		}
		body = body[4+n:]
	}
	return true
}

// check returns the answer to an append that is a repeat, is fenced or has the wrong
// sequence number. It returns status 0 if the append may be executed.
func (w *writer) check(epoch, sequence, end uint64) (int, appendResponse) {
	if a, ok := w.answers[sequence]; ok && epoch == w.epoch {
		return http.StatusOK, a
	}
	if epoch < w.epoch {
		return http.StatusConflict, appendResponse{Reason: "fenced", End: end}
	}
	if epoch == w.epoch && sequence != w.next {
		return http.StatusConflict, appendResponse{Reason: "seq", End: end}
	}
	return 0, appendResponse{}
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
	maxBytes := math.MaxInt
	if kb, err := strconv.Atoi(q.Get("max_kb")); err == nil {
		maxBytes = kb << 10
	}
	deadline := time.NewTimer(time.Duration(ms) * time.Millisecond)
	defer deadline.Stop()
	for waited := false; ; {
		s.mu.Lock()
		t := s.topic(q.Get("topic"))
		if from < t.first {
			first := t.first
			s.mu.Unlock()
			writeJSON(w, http.StatusGone, map[string]uint64{"first": first})
			return
		}
		if from < t.end() || waited || ms == 0 {
			b := t.page(from, maxBytes)
			s.mu.Unlock()
			if _, err := w.Write(b); err != nil {
				return
			}
			return
		}
		appended := t.appended
		s.mu.Unlock()
		select {
		case <-appended:
		case <-deadline.C:
			waited = true
		case <-r.Context().Done():
			return
		}
	}
}

// page returns the encoded records from an offset on, after the partition's end and
// first offset. It takes up to maxBytes unless the first record is larger.
func (t *topic) page(from uint64, maxBytes int) []byte {
	b := binary.BigEndian.AppendUint64(nil, t.end())
	b = binary.BigEndian.AppendUint64(b, t.first)
	for i := from; i < t.end(); i++ {
		raw := t.records[i-t.first].raw
		if i > from && len(b)+4+len(raw) > maxBytes {
			break
		}
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

type newestResponse struct {
	Items []newestItem `json:"items"`
	More  bool         `json:"has_more"`
	End   uint64       `json:"end"`
}

// newestPageSize is the maximum number of records in one answer.
const newestPageSize = 500

func (s *Store) readNewest(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	t := s.topic(q.Get("topic"))
	a := newestResponse{Items: []newestItem{}, End: t.end()}
	for _, k := range slices.Sorted(maps.Keys(t.newest)) {
		if k <= q.Get("after") && q.Get("after") != "" {
			continue
		}
		if len(a.Items) == newestPageSize {
			a.More = true
			break
		}
		n := t.newest[k]
		a.Items = append(a.Items, newestItem{Key: k, Value: base64.StdEncoding.EncodeToString(n.value), Offset: n.offset})
	}
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, a)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	b, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A caller that has closed the connection is not an error of the store.
	_, _ = w.Write(b)
}
