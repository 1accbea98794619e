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
	maxPage = 1 << 20
	// maxEntry bounds one entry, in bytes.
	maxEntry = 1 << 20
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
	nextSlot time.Time
	appends  int
}

// stream is one stream of a Log.
type stream struct {
	start   uint64
	entries []stamped
	// grown is closed and replaced at each append.
	grown chan struct{}
}

// stamped is an entry with its time.
type stamped struct {
	data []byte
	at   time.Time
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
	return l.appends
}

// Service returns l as a logservice.Log.
func (l *Log) Service() logservice.Log {
	return logservice.Log{Append: l.Append, Read: l.Read}
}

// Append adds data to stream.
func (l *Log) Append(ctx context.Context, name string, data []byte) (uint64, error) {
	if len(data) > maxEntry {
		return 0, fault.Newf(fault.TooLarge, "split the entry", "the entry has %d bytes", len(data))
	}
	f := l.current()
	if err := l.pause(ctx, f); err != nil {
		return 0, err
	}
	if f.LoseAnswers {
		go l.late(f.LateApply, name, data)
		return 0, fault.New(fault.Unknown, "the log's answer was lost", "read the stream before you repeat")
	}
	if err := l.turn(ctx); err != nil {
		return 0, err
	}
	return l.apply(name, data), nil
}

// Read returns entries from the given offset.
func (l *Log) Read(ctx context.Context, name string, from uint64, wait time.Duration) (logservice.Page, error) {
	t := newTimer(wait)
	defer t.Stop()
	for {
		f := l.current()
		if err := l.pause(ctx, f); err != nil {
			return logservice.Page{}, err
		}
		p, grown, err := l.page(name, from)
		if err != nil || len(p.Entries) > 0 {
			return p, err
		}
		select {
		case <-grown:
		case <-t.C:
			return p, nil
		case <-ctx.Done():
			return logservice.Page{}, unavailable()
		}
	}
}

// current returns the faults in force.
func (l *Log) current() LogFaults {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults
}

// pause applies Down, Delay and, for appends, Rate.
func (l *Log) pause(ctx context.Context, f LogFaults) error {
	if f.Down {
		return unavailable()
	}
	if f.Delay == 0 {
		return nil
	}
	select {
	case <-time.After(f.Delay):
		if l.current().Down {
			return unavailable()
		}
		return nil
	case <-ctx.Done():
		return unavailable()
	}
}

// late applies an append whose answer was lost.
func (l *Log) late(after time.Duration, name string, data []byte) {
	t := newTimer(after)
	defer t.Stop()
	<-t.C
	l.apply(name, data)
}

// apply adds an entry.
func (l *Log) apply(name string, data []byte) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	s.entries = append(s.entries, stamped{data: append([]byte(nil), data...), at: time.Now()})
	l.appends++
	close(s.grown)
	s.grown = make(chan struct{})
	return s.start + uint64(len(s.entries)) - 1
}

// turn waits for the next turn under Rate.
func (l *Log) turn(ctx context.Context) error {
	if l.Rate == 0 {
		return nil
	}
	l.mu.Lock()
	now := time.Now()
	if l.nextSlot.Before(now) {
		l.nextSlot = now
	}
	wait := l.nextSlot.Sub(now)
	l.nextSlot = l.nextSlot.Add(time.Second / time.Duration(l.Rate))
	l.mu.Unlock()
	t := newTimer(wait)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return unavailable()
	}
}

// page returns the entries from the given offset and a channel that is closed
// when the stream grows.
func (l *Log) page(name string, from uint64) (logservice.Page, chan struct{}, error) {
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
	for i := from - s.start; i < uint64(len(s.entries)) && size < maxPage; i++ {
		p.Entries = append(p.Entries, logservice.Entry{Offset: s.start + i, Data: s.entries[i].data})
		size += len(s.entries[i].data)
	}
	return p, s.grown, nil
}

// stream returns the stream called name. The caller holds mu.
func (l *Log) stream(name string) *stream {
	if l.streams == nil {
		l.streams = map[string]*stream{}
	}
	if l.streams[name] == nil {
		l.streams[name] = &stream{grown: make(chan struct{})}
	}
	return l.streams[name]
}

// expire drops entries older than Retention. The caller holds mu.
func (l *Log) expire(s *stream) {
	if l.Retention == 0 {
		return
	}
	old := time.Now().Add(-l.Retention)
	n := 0
	for n < len(s.entries) && s.entries[n].at.Before(old) {
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
func unavailable() error {
	return fault.New(fault.Unavailable, "the platform's service is down", "wait for it to come back")
}
