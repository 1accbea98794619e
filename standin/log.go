package standin

import (
	"context"
	"sync"
	"time"

	"github.com/limpetrelay/limpetrelay/fault"
	"github.com/limpetrelay/limpetrelay/internal/storage/logservice"
)

const (
	// maxPageBytes is the amount of data after which one read stops adding
	// entries.
	maxPageBytes = 1 << 20
	// maxEntryBytes is the largest accepted entry.
	maxEntryBytes = 1 << 20
)

// LogFaults are the faults of a Log. The zero value has none.
type LogFaults struct {
	// Down makes all calls fail with fault.Unavailable.
	Down bool
	// LoseAnswers makes appends fail with fault.Unknown although they are applied.
	LoseAnswers bool
	// Delay is added to every call.
	Delay time.Duration
	// LateApply delays the application of appends whose answers LoseAnswers loses.
	LateApply time.Duration
}

// Log simulates the platform's log service. The zero value is ready to use and
// keeps all entries.
type Log struct {
	// Retention is how long entries are kept; 0 means for ever. Use
	// SetRetention to change it while the log is in use.
	Retention time.Duration
	// Rate is the maximum number of appends per second; 0 means no limit.
	Rate int

	mu      sync.Mutex
	faults  LogFaults
	streams map[string]*stream
	// nextAppendAt is the earliest time at which Rate allows the next append.
	nextAppendAt time.Time
	appendCount  int
}

// stream is one stream of a Log.
type stream struct {
	// start is the offset of the oldest retained entry.
	start   uint64
	entries []logEntry
	// appended is closed and replaced at each append.
	appended chan struct{}
}

// logEntry is an entry with the time of its append.
type logEntry struct {
	data       []byte
	appendedAt time.Time
}

// SetRetention changes how long entries are kept, while the log is in use.
func (l *Log) SetRetention(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Retention = d
}

// SetFaults replaces the faults.
func (l *Log) SetFaults(f LogFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
}

// AppendCount returns the number of applied appends.
func (l *Log) AppendCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appendCount
}

// Service returns l as a logservice.Log.
func (l *Log) Service() logservice.Log {
	return logservice.Log{Append: l.Append, Read: l.Read}
}

// Append adds data to the stream called name and returns its offset. It fails
// with fault.TooLarge or fault.Unavailable when the entry was not applied, and
// with fault.Unknown when LoseAnswers is set; the entry is then applied after
// LateApply.
func (l *Log) Append(ctx context.Context, name string, data []byte) (uint64, error) {
	if len(data) > maxEntryBytes {
		return 0, fault.Newf(fault.TooLarge, "split the entry", "an entry of %d bytes exceeds the limit", len(data))
	}
	f := l.currentFaults()
	if err := l.delay(ctx, f); err != nil {
		return 0, err
	}
	if f.LoseAnswers {
		go l.applyLate(f.LateApply, name, data)
		return 0, fault.New(fault.Unknown, "the answer of the log was lost", "read the stream before repeating the append")
	}
	if err := l.waitForRate(ctx); err != nil {
		return 0, err
	}
	return l.apply(name, data), nil
}

// Read returns entries from the given offset. When there are none yet, it waits
// for up to wait and then returns an empty page. It fails with fault.Gap when
// the offset is outside the retained range, and with fault.Unavailable when the
// log is down or ctx ends.
func (l *Log) Read(ctx context.Context, name string, from uint64, wait time.Duration) (logservice.Page, error) {
	t := newTimer(wait)
	defer t.Stop()
	for {
		f := l.currentFaults()
		if err := l.delay(ctx, f); err != nil {
			return logservice.Page{}, err
		}
		p, appended, err := l.readPage(name, from)
		if err != nil || len(p.Entries) > 0 {
			return p, err
		}
		select {
		case <-appended:
		case <-t.C:
			return p, nil
		case <-ctx.Done():
			return logservice.Page{}, unavailableError()
		}
	}
}

// currentFaults returns the faults that are set now.
func (l *Log) currentFaults() LogFaults {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults
}

// delay waits for the Delay of faults. It fails when the log is down before or
// after that time, or when ctx ends.
func (l *Log) delay(ctx context.Context, faults LogFaults) error {
	if faults.Down {
		return unavailableError()
	}
	if faults.Delay == 0 {
		return nil
	}
	select {
	case <-time.After(faults.Delay):
		if l.currentFaults().Down {
			return unavailableError()
		}
		return nil
	case <-ctx.Done():
		return unavailableError()
	}
}

// applyLate applies an append whose answer was lost, after a delay of wait.
func (l *Log) applyLate(wait time.Duration, name string, data []byte) {
	t := newTimer(wait)
	defer t.Stop()
	<-t.C
	l.apply(name, data)
}

// apply appends an entry and returns its offset.
func (l *Log) apply(name string, data []byte) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	s.entries = append(s.entries, logEntry{data: append([]byte(nil), data...), appendedAt: time.Now()})
	l.appendCount++
	close(s.appended)
	s.appended = make(chan struct{})
	return s.start + uint64(len(s.entries)) - 1
}

// waitForRate waits until Rate allows another append. It fails when ctx ends.
func (l *Log) waitForRate(ctx context.Context) error {
	if l.Rate == 0 {
		return nil
	}
	l.mu.Lock()
	now := time.Now()
	if l.nextAppendAt.Before(now) {
		l.nextAppendAt = now
	}
	wait := l.nextAppendAt.Sub(now)
	l.nextAppendAt = l.nextAppendAt.Add(time.Second / time.Duration(l.Rate))
	l.mu.Unlock()
	t := newTimer(wait)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return unavailableError()
	}
}

// readPage returns the entries from the given offset and a channel that is
// closed at the next append to the stream.
func (l *Log) readPage(name string, from uint64) (logservice.Page, chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	l.expire(s)
	end := s.start + uint64(len(s.entries))
	if from == logservice.OldestOffset {
		from = s.start
	}
	if from < s.start || from > end {
		return logservice.Page{Start: s.start, End: end}, nil, fault.Newf(fault.Gap,
			"load a snapshot", "offset %d is outside the retained range %d to %d", from, s.start, end)
	}
	p := logservice.Page{Start: s.start, End: end}
	size := 0
	for i := from - s.start; i < uint64(len(s.entries)) && size < maxPageBytes; i++ {
		p.Entries = append(p.Entries, logservice.Entry{Offset: s.start + i, Data: s.entries[i].data})
		size += len(s.entries[i].data)
	}
	return p, s.appended, nil
}

// stream returns the stream called name, and creates it when it does not exist.
// The caller holds mu.
func (l *Log) stream(name string) *stream {
	if l.streams == nil {
		l.streams = map[string]*stream{}
	}
	if l.streams[name] == nil {
		l.streams[name] = &stream{appended: make(chan struct{})}
	}
	return l.streams[name]
}

// expire drops entries older than Retention. The caller holds mu.
func (l *Log) expire(s *stream) {
	if l.Retention == 0 {
		return
	}
	cutoff := time.Now().Add(-l.Retention)
	n := 0
	for n < len(s.entries) && s.entries[n].appendedAt.Before(cutoff) {
		n++
	}
	s.entries = s.entries[n:]
	s.start += uint64(n)
}

// newTimer returns a timer of at least 1 µs. Reading the channel of a timer that
// has already expired crashes the race detector in a synctest bubble (go1.26.8).
func newTimer(d time.Duration) *time.Timer {
	return time.NewTimer(max(d, time.Microsecond))
}

// unavailableError returns the error of a call to a service that is down.
func unavailableError() error {
	return fault.New(fault.Unavailable, "the platform service is down", "retry once it is available")
}
