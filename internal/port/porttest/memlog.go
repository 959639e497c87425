package porttest

import (
	"bytes"
	"context"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"github.com/balsamhitch/balsamhitch/internal/port"
)

// Unavailable is the class of errors that injected faults cause.
var Unavailable = errs.Class("log unavailable")

// MemLog is an in-memory port.Log. It is safe for concurrent use. MemClient adds
// fault injection.
type MemLog struct {
	mu            sync.Mutex
	skipTruncated bool // see SkipTruncated
	streams       map[string]*memStream
}

type memStream struct {
	earliest uint64
	records  [][]byte      // the first one has the offset earliest
	appended chan struct{} // closed and replaced by each append
}

var _ port.Log = (*MemLog)(nil)

// NewMemLog returns an empty log.
func NewMemLog() *MemLog {
	return &MemLog{streams: make(map[string]*memStream)}
}

// Append implements port.Log; it never fails.
func (l *MemLog) Append(_ context.Context, stream string, records [][]byte) (uint64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(stream)
	first := s.next()
	for _, r := range records {
		s.records = append(s.records, bytes.Clone(r))
	}
	close(s.appended)
	s.appended = make(chan struct{})
	return first, nil
}

// Read implements port.Log.
func (l *MemLog) Read(
	ctx context.Context, stream string, from uint64, limit int, wait time.Duration,
) (port.Batch, error) {
	batch, appended, err := l.tryRead(stream, from, limit)
	if err != nil || len(batch.Records) > 0 || wait <= 0 {
		return batch, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		select {
		case <-appended:
			batch, appended, err = l.tryRead(stream, from, limit)
			if err != nil || len(batch.Records) > 0 {
				return batch, err
			}
		case <-timer.C:
			return batch, nil
		case <-ctx.Done():
			return port.Batch{}, ctx.Err()
		}
	}
}

// tryRead returns the records without waiting, and a channel that the next
// append closes.
func (l *MemLog) tryRead(stream string, from uint64, limit int) (port.Batch, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(stream)
	batch := port.Batch{Earliest: s.earliest, Next: s.next()}
	if from < s.earliest && l.skipTruncated {
		from = s.earliest
	}
	if from < s.earliest {
		return batch, nil, port.LogTruncated.New("offset %d, earliest %d", from, s.earliest)
	}
	for o := from; o < s.next() && len(batch.Records) < limit; o++ {
		batch.Records = append(batch.Records, port.Record{Offset: o, Data: bytes.Clone(s.records[o-s.earliest])})
	}
	return batch, s.appended, nil
}

// Truncate drops all records before the offset, as the log's retention does.
func (l *MemLog) Truncate(stream string, before uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(stream)
	before = min(before, s.next())
	if before > s.earliest {
		s.records = s.records[before-s.earliest:]
		s.earliest = before
	}
}

// SkipTruncated makes reads of truncated offsets return records from the oldest
// retained one on instead of an error.
func (l *MemLog) SkipTruncated() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.skipTruncated = true
}

// Next returns the offset of the next append to the stream.
func (l *MemLog) Next(stream string) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stream(stream).next()
}

func (l *MemLog) stream(name string) *memStream {
	s := l.streams[name]
	if s == nil {
		s = &memStream{appended: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

func (s *memStream) next() uint64 { return s.earliest + uint64(len(s.records)) }

// Faults selects how the calls of a client fail.
type Faults struct {
	Down        bool          // calls fail without effect
	FailAppends bool          // appends fail without effect, reads work
	AppendDelay time.Duration // delay before an append takes effect
	ReadDelay   time.Duration // delay before a read takes effect
	LoseAnswers bool          // appends take effect and return an error
	// DeferAppends, if positive, makes appends return an error at once and take
	// effect after this delay.
	DeferAppends time.Duration
}

// MemClient is a process's client of a MemLog, with fault injection. It is safe
// for concurrent use.
type MemClient struct {
	log  *MemLog
	gate *Gate

	mu     sync.Mutex
	faults Faults
}

var _ port.Log = (*MemClient)(nil)

// Client returns a client whose calls block while the gate is closed; gate may
// be nil.
func (l *MemLog) Client(gate *Gate) *MemClient {
	return &MemClient{log: l, gate: gate}
}

// SetFaults replaces the faults.
func (c *MemClient) SetFaults(f Faults) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults = f
}

func (c *MemClient) currentFaults() Faults {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.faults
}

// Append implements port.Log, subject to the faults.
func (c *MemClient) Append(ctx context.Context, stream string, records [][]byte) (uint64, error) {
	c.gate.Wait()
	f := c.currentFaults()
	if f.DeferAppends > 0 {
		time.AfterFunc(f.DeferAppends, func() { _, _ = c.log.Append(context.Background(), stream, records) })
		return 0, Unavailable.New("append is deferred")
	}
	if err := sleep(ctx, f.AppendDelay); err != nil {
		return 0, err
	}
	if f = c.currentFaults(); f.Down || f.FailAppends {
		return 0, Unavailable.New("append rejected")
	}
	first, err := c.log.Append(ctx, stream, records)
	if f.LoseAnswers {
		return 0, Unavailable.New("append answer lost")
	}
	c.gate.Wait()
	return first, err
}

// Read implements port.Log, subject to the faults.
func (c *MemClient) Read(
	ctx context.Context, stream string, from uint64, limit int, wait time.Duration,
) (port.Batch, error) {
	c.gate.Wait()
	if err := sleep(ctx, c.currentFaults().ReadDelay); err != nil {
		return port.Batch{}, err
	}
	if c.currentFaults().Down {
		return port.Batch{}, Unavailable.New("read rejected")
	}
	batch, err := c.log.Read(ctx, stream, from, limit, wait)
	if c.currentFaults().Down {
		return port.Batch{}, Unavailable.New("read aborted")
	}
	c.gate.Wait()
	return batch, err
}
