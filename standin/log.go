package standin

import (
	"context"
	"sync"
	"time"

	"github.com/limpetrelay/limpetrelay/fault"
	"github.com/limpetrelay/limpetrelay/internal/storage/logservice"
)

const (
	// maxPage bounds the data in one read, in bytes.
	maxPageBytes = 1 << 20
	// maxEntry bounds one entry, in bytes.
	maxEntryBytes = 1 << 20
)

// LogFaults are the faults of a Log. The zero value has none.
type LogFaults struct {
	// Down refuses all calls.
	Down bool
	// LoseAnswers applies appends and then reports them as unknown.
	LoseAnswers bool
	// Delay is added to every call.
	Delay time.Duration
	// LateApply applies lost appends after this time instead of at once.
	LateApply time.Duration
}

// Log plays the log service. The zero value keeps everything and is ready.
type Log struct {
	// Retention is how long entries are kept; 0 means for ever.
	Retention time.Duration
	// Rate bounds the appends per second; 0 means no bound.
	Rate int

	mu      sync.Mutex
	faults  LogFaults
	streams map[string]*stream
	// nextSlot is when the next append may be applied under Rate.
	nextAppendAt time.Time
	appendCount  int
}

// stream is one stream of a Log.
type stream struct {
	start   uint64
	entries []logEntry
	// grown is closed and replaced at each append.
	appended chan struct{}
}

// stamped is an entry with its time.
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

// Append adds data to stream.
func (l *Log) Append(ctx context.Context, name string, data []byte) (uint64, error) {
	if len(data) > maxEntryBytes {
		return 0, fault.Newf(fault.TooLarge, "split the entry", "the entry has %d bytes", len(data))
	}
	f := l.currentFaults()
	if err := l.delay(ctx, f); err != nil {
		return 0, err
	}
	if f.LoseAnswers {
		go l.applyLate(f.LateApply, name, data)
		return 0, fault.New(fault.Unknown, "the log's answer was lost", "read the stream before you repeat")
	}
	if err := l.waitForRate(ctx); err != nil {
		return 0, err
	}
	return l.apply(name, data), nil
}

// Read returns entries from the given offset.
func (l *Log) Read(ctx context.Context, name string, from uint64, wait time.Duration) (logservice.Page, error) {
	t := newTimer(wait)
	defer t.Stop()
	for {
		f := l.currentFaults()
		if err := l.delay(ctx, f); err != nil {
			return logservice.Page{}, err
		}
		p, grown, err := l.readPage(name, from)
		if err != nil || len(p.Entries) > 0 {
			return p, err
		}
		select {
		case <-grown:
		case <-t.C:
			return p, nil
		case <-ctx.Done():
			return logservice.Page{}, unavailableError()
		}
	}
}

// current returns the faults in force.
func (l *Log) currentFaults() LogFaults {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults
}

// pause applies Down, Delay and, for appends, Rate.
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

// late applies an append whose answer was lost.
func (l *Log) applyLate(wait time.Duration, name string, data []byte) {
	t := newTimer(wait)
	defer t.Stop()
	<-t.C
	l.apply(name, data)
}

// apply adds an entry.
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

// turn waits for the next turn under Rate.
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

// page returns the entries from the given offset and a channel that is closed
// when the stream grows.
func (l *Log) readPage(name string, from uint64) (logservice.Page, chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	l.expire(s)
	end := s.start + uint64(len(s.entries))
	if from == logservice.Oldest {
		from = s.start
	}
	if from < s.start || from > end {
		return logservice.Page{Start: s.start, End: end}, nil, fault.Newf(fault.Gap,
			"load a snapshot", "offset %d is outside the retained %d to %d", from, s.start, end)
	}
	p := logservice.Page{Start: s.start, End: end}
	size := 0
	for i := from - s.start; i < uint64(len(s.entries)) && size < maxPageBytes; i++ {
		p.Entries = append(p.Entries, logservice.Entry{Offset: s.start + i, Data: s.entries[i].data})
		size += len(s.entries[i].data)
	}
	return p, s.appended, nil
}

// stream returns the stream called name. The caller holds mu.
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

// newTimer returns a timer that is not yet due. A timer that is due when its
// channel is read crashes the race detector in a synctest bubble (go1.26.8).
func newTimer(d time.Duration) *time.Timer {
	return time.NewTimer(max(d, time.Microsecond))
}

// unavailable returns the error of a service that is down.
func unavailableError() error {
	return fault.New(fault.Unavailable, "the platform's service is down", "wait for it to come back")
}
