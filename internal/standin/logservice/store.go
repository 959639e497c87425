// Package logservice is a stand-in of the platform's log service: append-only
// streams with offsets, long-poll reads, retention by record count and a rate
// limit on appends.
package logservice

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/balsamhitch/balsamhitch/internal/adapter/platformapi"
)

// Defaults of the stand-in.
const (
	DefaultRetention  = 100_000 // records per stream
	DefaultAppendRate = 400     // append calls per second
	maxReadRecords    = 5_000
	maxWait           = 60 * time.Second
)

// Options configures a store. Zero values select the defaults.
type Options struct {
	Retention  int
	AppendRate float64
}

// Store holds the streams. It is safe for concurrent use.
type Store struct {
	retention int
	limiter   *rate.Limiter

	mu      sync.Mutex
	streams map[string]*stream
}

type stream struct {
	mu       sync.Mutex
	earliest uint64
	records  [][]byte
	appended chan struct{} // closed and replaced by each append
}

// NewStore returns an empty store.
func NewStore(options Options) *Store {
	if options.Retention == 0 {
		options.Retention = DefaultRetention
	}
	if options.AppendRate == 0 {
		options.AppendRate = DefaultAppendRate
	}
	return &Store{
		retention: options.Retention,
		limiter:   rate.NewLimiter(rate.Limit(options.AppendRate), max(1, int(options.AppendRate/4))),
		streams:   make(map[string]*stream),
	}
}

// Admit reports whether the rate limit permits an append now, and counts it
// against the limit.
func (s *Store) Admit() bool {
	return s.limiter.Allow()
}

// Append adds records to the named stream and returns the offset of the first.
// The oldest records beyond the retention are discarded.
func (s *Store) Append(name string, records [][]byte) uint64 {
	st := s.stream(name)
	st.mu.Lock()
	defer st.mu.Unlock()
	first := st.earliest + uint64(len(st.records))
	st.records = append(st.records, records...)
	if surplus := len(st.records) - s.retention; surplus > 0 {
		st.records = append([][]byte(nil), st.records[surplus:]...)
		st.earliest += uint64(surplus)
	}
	close(st.appended)
	st.appended = make(chan struct{})
	return first
}

// Read returns up to limit records from offset from on. If there is none yet,
// it waits up to wait for one. retained is false if the record at from has been
// discarded.
func (s *Store) Read(ctx context.Context, name string, from uint64, limit int, wait time.Duration) (reply platformapi.ReadReply, retained bool) {
	st := s.stream(name)
	timer := time.NewTimer(min(wait, maxWait))
	defer timer.Stop()
	for {
		reply, retained, appended := st.read(from, limit)
		if !retained || len(reply.Records) > 0 || wait <= 0 {
			return reply, retained
		}
		select {
		case <-appended:
		case <-timer.C:
			return reply, retained
		case <-ctx.Done():
			return reply, retained
		}
	}
}

func (s *Store) stream(name string) *stream {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.streams[name]
	if st == nil {
		st = &stream{appended: make(chan struct{})}
		s.streams[name] = st
	}
	return st
}

func (st *stream) read(from uint64, limit int) (platformapi.ReadReply, bool, <-chan struct{}) {
	st.mu.Lock()
	defer st.mu.Unlock()
	next := st.earliest + uint64(len(st.records))
	reply := platformapi.ReadReply{Earliest: st.earliest, Next: next}
	if from < st.earliest {
		return reply, false, st.appended
	}
	if limit <= 0 || limit > maxReadRecords {
		limit = maxReadRecords
	}
	for offset := from; offset < next && len(reply.Records) < limit; offset++ {
		data := st.records[offset-st.earliest]
		reply.Records = append(reply.Records, platformapi.Record{Offset: offset, Data: data})
	}
	return reply, true, st.appended
}
