// Package logsvc is a stand-in of the platform's log service: append-only
// streams with offsets, long-poll reads, retention by count and a limit on
// the rate of appends.
package logsvc

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
	DefaultAppendRate = 400     // append calls a second
	maxReadRecords    = 5_000
	maxWait           = 60 * time.Second
)

// Options sets up a store. Zero values stand for the defaults.
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
	grown    chan struct{} // closed and replaced by each append
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

// Admit takes one append out of the rate limit.
func (s *Store) Admit() bool {
	return s.limiter.Allow()
}

// Append adds the records and returns the offset of the first.
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
	close(st.grown)
	st.grown = make(chan struct{})
	return first
}

// Read returns up to limit records at or after from, and waits up to wait for
// the first one. kept is false when from is no longer kept.
func (s *Store) Read(ctx context.Context, name string, from uint64, limit int, wait time.Duration) (reply platformapi.ReadReply, kept bool) {
	st := s.stream(name)
	timer := time.NewTimer(min(wait, maxWait))
	defer timer.Stop()
	for {
		reply, kept, grown := st.read(from, limit)
		if !kept || len(reply.Records) > 0 || wait <= 0 {
			return reply, kept
		}
		select {
		case <-grown:
		case <-timer.C:
			return reply, kept
		case <-ctx.Done():
			return reply, kept
		}
	}
}

func (s *Store) stream(name string) *stream {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.streams[name]
	if st == nil {
		st = &stream{grown: make(chan struct{})}
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
		return reply, false, st.grown
	}
	if limit <= 0 || limit > maxReadRecords {
		limit = maxReadRecords
	}
	for offset := from; offset < next && len(reply.Records) < limit; offset++ {
		data := st.records[offset-st.earliest]
		reply.Records = append(reply.Records, platformapi.Record{Offset: offset, Data: data})
	}
	return reply, true, st.grown
}
