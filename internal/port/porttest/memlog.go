package porttest

import (
	"bytes"
	"context"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"github.com/balsamhitch/balsamhitch/internal/port"
)

// Unavailable is the class of errors of a log that is down.
var Unavailable = errs.Class("log unavailable")

// MemLog is the platform's log in memory. It is safe for concurrent use.
// Its own Append and Read never fail; clients add faults.
type MemLog struct {
	mu      sync.Mutex
	skip    bool // reads of dropped offsets do not fail
	streams map[string]*memStream
}

type memStream struct {
	earliest uint64
	records  [][]byte      // the first has the offset earliest
	grown    chan struct{} // closed and replaced by each append
}

var _ port.Log = (*MemLog)(nil)

// NewMemLog returns an empty log.
func NewMemLog() *MemLog {
	return &MemLog{streams: make(map[string]*memStream)}
}

// Append adds the records.
func (l *MemLog) Append(_ context.Context, stream string, records [][]byte) (uint64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(stream)
	first := s.next()
	for _, r := range records {
		s.records = append(s.records, bytes.Clone(r))
	}
	close(s.grown)
	s.grown = make(chan struct{})
	return first, nil
}

// Read returns records as port.Log says.
func (l *MemLog) Read(
	ctx context.Context, stream string, from uint64, limit int, wait time.Duration,
) (port.Batch, error) {
	batch, grown, err := l.peek(stream, from, limit)
	if err != nil || len(batch.Records) > 0 || wait <= 0 {
		return batch, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		select {
		case <-grown:
			batch, grown, err = l.peek(stream, from, limit)
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

func (l *MemLog) peek(stream string, from uint64, limit int) (port.Batch, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(stream)
	batch := port.Batch{Earliest: s.earliest, Next: s.next()}
	if from < s.earliest && l.skip {
		from = s.earliest
	}
	if from < s.earliest {
		return batch, nil, port.LogTruncated.New("offset %d, earliest %d", from, s.earliest)
	}
	for o := from; o < s.next() && len(batch.Records) < limit; o++ {
		batch.Records = append(batch.Records, port.Record{Offset: o, Data: bytes.Clone(s.records[o-s.earliest])})
	}
	return batch, s.grown, nil
}

// Truncate drops all records before the offset, as the retention does.
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

// SkipTruncated makes reads of dropped offsets begin with the oldest record
// kept, without an error.
func (l *MemLog) SkipTruncated() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.skip = true
}

// Next returns the offset that the next append to the stream will get.
func (l *MemLog) Next(stream string) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stream(stream).next()
}

func (l *MemLog) stream(name string) *memStream {
	s := l.streams[name]
	if s == nil {
		s = &memStream{grown: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

func (s *memStream) next() uint64 { return s.earliest + uint64(len(s.records)) }

// Faults says how a client's calls fail.
type Faults struct {
	Down        bool          // calls fail without effect
	FailAppends bool          // appends fail without effect, reads work
	AppendDelay time.Duration // before an append takes effect
	ReadDelay   time.Duration // before a read sees the log
	LoseAnswers bool          // appends take effect and return an error
	// LandLate, if positive, makes appends return an error at once and take
	// effect that much later.
	DeferAppends time.Duration
}

// MemClient is one process's access to a MemLog. It is safe for concurrent
// use.
type MemClient struct {
	log  *MemLog
	gate *Gate

	mu     sync.Mutex
	faults Faults
}

var _ port.Log = (*MemClient)(nil)

// Client returns an access whose calls block while the gate is closed; gate
// may be nil.
func (l *MemLog) Client(gate *Gate) *MemClient {
	return &MemClient{log: l, gate: gate}
}

// SetFaults replaces the faults of later calls.
func (c *MemClient) SetFaults(f Faults) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults = f
}

func (c *MemClient) current() Faults {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.faults
}

// Append adds the records unless a fault is set.
func (c *MemClient) Append(ctx context.Context, stream string, records [][]byte) (uint64, error) {
	c.gate.Wait()
	f := c.current()
	if f.DeferAppends > 0 {
		time.AfterFunc(f.DeferAppends, func() { _, _ = c.log.Append(context.Background(), stream, records) })
		return 0, Unavailable.New("append is under way")
	}
	if err := sleep(ctx, f.AppendDelay); err != nil {
		return 0, err
	}
	if f = c.current(); f.Down || f.FailAppends {
		return 0, Unavailable.New("append refused")
	}
	first, err := c.log.Append(ctx, stream, records)
	if f.LoseAnswers {
		return 0, Unavailable.New("answer lost")
	}
	c.gate.Wait()
	return first, err
}

// Read reads unless a fault is set.
func (c *MemClient) Read(
	ctx context.Context, stream string, from uint64, limit int, wait time.Duration,
) (port.Batch, error) {
	c.gate.Wait()
	if err := sleep(ctx, c.current().ReadDelay); err != nil {
		return port.Batch{}, err
	}
	if c.current().Down {
		return port.Batch{}, Unavailable.New("read refused")
	}
	batch, err := c.log.Read(ctx, stream, from, limit, wait)
	if c.current().Down {
		return port.Batch{}, Unavailable.New("read broken off")
	}
	c.gate.Wait()
	return batch, err
}
