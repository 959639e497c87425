package celltest

import (
	"context"
	"math/rand/v2"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"github.com/balsamhitch/balsamhitch/internal/port"
)

// memLog is a keyed log in memory with faults that affect all nodes. nodeLog adds
// the faults of one node.
type memLog struct {
	mu              sync.Mutex
	topics          map[string]*topic
	changed         chan struct{}
	rng             *rand.Rand
	delay           time.Duration // of each answer
	appendTime      time.Duration // time that the topic needs for each append; the next one waits
	bytesPerSecond  int           // rate at which a topic takes the bytes of an append, zero for no limit
	finishesAll     bool          // an append is executed even if its caller has stopped waiting
	lostProbability float64       // that an append is executed without an answer
	lateProbability float64       // that an append gets no answer and is executed seconds later
	down            bool
	repeats         int // appends that repeated an executed one
	maxAppendBytes  int // limit of the records of one append together
}

type topic struct {
	records   []port.KeyedRecord
	first     uint64 // oldest offset kept
	newest    map[string]port.KeyedRecord
	producers map[string]*producerState
	idleAt    time.Time // when the topic has executed all queued appends
}

type producerState struct {
	epoch, next uint64
	offsets     map[uint64]uint64 // by sequence
}

var errNoAnswer = errs.New("no answer")

func newMemLog(rng *rand.Rand) *memLog {
	return &memLog{topics: map[string]*topic{}, changed: make(chan struct{}), rng: rng, delay: 4 * time.Millisecond, maxAppendBytes: maxAppendBytes}
}

func (l *memLog) topic(name string) *topic {
	t, ok := l.topics[name]
	if !ok {
		t = &topic{newest: map[string]port.KeyedRecord{}, producers: map[string]*producerState{}}
		l.topics[name] = t
	}
	return t
}

// roundTrip waits for the delay of an answer. It returns an error if the log is
// down or ctx ends.
func (l *memLog) roundTrip(ctx context.Context) error {
	l.mu.Lock()
	delay, down := l.delay, l.down
	l.mu.Unlock()
	select {
	case <-time.After(delay):
	case <-ctx.Done():
		return errs.Wrap(ctx.Err())
	}
	if down {
		return port.Refused.New("log is down")
	}
	return nil
}

// maxAppendBytes is the usual limit of the records of one append together.
const maxAppendBytes = 2 << 20

func (l *memLog) Append(ctx context.Context, name string, records []port.KeyedRecord, options port.AppendOptions) (uint64, error) {
	size := 0
	for i := range records {
		size += records[i].Size()
	}
	if size > l.maxAppendBytes {
		return 0, port.Refused.New("records of %d bytes together; the limit is %d", size, l.maxAppendBytes)
	}
	l.mu.Lock()
	finishesAll := l.finishesAll
	l.mu.Unlock()
	if finishesAll {
		return l.appendToTheEnd(ctx, name, records, options)
	}
	if err := l.waitTurn(name, records); err != nil {
		return 0, err
	}
	if err := l.roundTrip(ctx); err != nil {
		return 0, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.rng.Float64() < l.lateProbability {
		time.AfterFunc(time.Duration(1+l.rng.IntN(5))*time.Second, func() {
			l.mu.Lock()
			defer l.mu.Unlock()
			_, _ = l.apply(name, records, options)
		})
		return 0, errNoAnswer
	}
	offset, err := l.apply(name, records, options)
	if l.rng.Float64() < l.lostProbability {
		return 0, errNoAnswer
	}
	return offset, err
}

// appendToTheEnd executes the append in its turn, also if ctx ends before.
func (l *memLog) appendToTheEnd(ctx context.Context, name string, records []port.KeyedRecord, options port.AppendOptions) (uint64, error) {
	type result struct {
		offset uint64
		err    error
	}
	answer := make(chan result, 1)
	go func() {
		var r result
		if r.err = l.waitTurn(name, records); r.err == nil {
			l.mu.Lock()
			r.offset, r.err = l.apply(name, records, options)
			l.mu.Unlock()
		}
		if err := l.roundTrip(context.Background()); err != nil {
			r = result{err: errNoAnswer}
		}
		answer <- r
	}()
	select {
	case r := <-answer:
		return r.offset, r.err
	case <-ctx.Done():
		return 0, errs.Wrap(ctx.Err())
	}
}

// maxQueueTime is the longest time that an append waits for the earlier ones to its
// topic; the log refuses appends that would wait longer.
const maxQueueTime = 2 * time.Second

// waitTurn waits until the topic has executed the earlier appends and this one. It
// returns port.Refused if the wait for the earlier ones would exceed maxQueueTime.
func (l *memLog) waitTurn(name string, records []port.KeyedRecord) error {
	l.mu.Lock()
	t := l.topic(name)
	now := time.Now()
	if t.idleAt.Before(now) {
		t.idleAt = now
	}
	if t.idleAt.Sub(now) > maxQueueTime {
		l.mu.Unlock()
		return port.Refused.New("too many appends are queued")
	}
	t.idleAt = t.idleAt.Add(l.appendTime + l.transferTime(records))
	turn := t.idleAt
	l.mu.Unlock()
	time.Sleep(time.Until(turn))
	return nil
}

// transferTime returns the time that a topic needs for the bytes of an append. The
// caller holds mu.
func (l *memLog) transferTime(records []port.KeyedRecord) time.Duration {
	if l.bytesPerSecond == 0 {
		return 0
	}
	size := 0
	for _, record := range records {
		size += len(record.Key) + len(record.Value)
	}
	return time.Duration(float64(size) / float64(l.bytesPerSecond) * float64(time.Second))
}

func (l *memLog) apply(name string, records []port.KeyedRecord, options port.AppendOptions) (uint64, error) {
	t := l.topic(name)
	end := t.first + uint64(len(t.records))
	if options.EndsAt != nil && *options.EndsAt != end {
		return 0, port.Conflict.New("topic ends at offset %d", end)
	}
	if p := options.Producer; p != nil {
		state, ok := t.producers[p.Name]
		if !ok || p.Epoch > state.epoch {
			state = &producerState{epoch: p.Epoch, next: p.Sequence, offsets: map[uint64]uint64{}}
			t.producers[p.Name] = state
		}
		if p.Epoch < state.epoch {
			return 0, port.Fenced.New("producer has epoch %d", state.epoch)
		}
		if offset, repeated := state.offsets[p.Sequence]; repeated {
			l.repeats++
			return offset, nil
		}
		if p.Sequence != state.next {
			return 0, port.Conflict.New("expected sequence %d", state.next)
		}
		state.offsets[p.Sequence] = end
		state.next++
	}
	for i, record := range records {
		record.Offset = end + uint64(i)
		t.records = append(t.records, record)
		if record.Value == nil {
			delete(t.newest, record.Key)
		} else {
			t.newest[record.Key] = record
		}
	}
	close(l.changed)
	l.changed = make(chan struct{})
	return end, nil
}

// truncate discards all records of a topic except the newest of each key.
func (l *memLog) truncate(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.topic(name)
	t.first += uint64(len(t.records))
	t.records = nil
}

func (l *memLog) Read(ctx context.Context, name string, from uint64, wait time.Duration) (port.KeyedBatch, error) {
	if err := l.roundTrip(ctx); err != nil {
		return port.KeyedBatch{}, err
	}
	deadline := time.After(wait)
	for {
		l.mu.Lock()
		t := l.topic(name)
		end := t.first + uint64(len(t.records))
		if from < t.first {
			l.mu.Unlock()
			return port.KeyedBatch{}, port.KeyedLogTruncated.New("first offset is %d", t.first)
		}
		if from < end {
			records := append([]port.KeyedRecord(nil), t.records[from-t.first:]...)
			l.mu.Unlock()
			return port.KeyedBatch{Records: records, End: end}, nil
		}
		changed := l.changed
		l.mu.Unlock()
		select {
		case <-changed:
		case <-deadline:
			return port.KeyedBatch{End: end}, nil
		case <-ctx.Done():
			return port.KeyedBatch{}, errs.Wrap(ctx.Err())
		}
	}
}

// maxPageRecords is small, so that the tests read several pages.
const maxPageRecords = 50

func (l *memLog) Newest(ctx context.Context, name, after string) (port.NewestPage, error) {
	if err := l.roundTrip(ctx); err != nil {
		return port.NewestPage{}, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.topic(name)
	page := port.NewestPage{End: t.first + uint64(len(t.records))}
	keys := make([]string, 0, len(t.newest))
	for key := range t.newest {
		if strings.Compare(key, after) > 0 {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	page.More = len(keys) > maxPageRecords
	for _, key := range keys[:min(len(keys), maxPageRecords)] {
		page.Records = append(page.Records, t.newest[key])
	}
	return page, nil
}

// nodeLog is one node's connection to the log.
type nodeLog struct {
	*memLog
	mu           sync.Mutex
	disconnected bool // calls get no answer
}

// checkConnected returns nil if the node is connected. Otherwise it blocks until
// ctx ends and returns an error.
func (l *nodeLog) checkConnected(ctx context.Context) error {
	l.mu.Lock()
	disconnected := l.disconnected
	l.mu.Unlock()
	if !disconnected {
		return nil
	}
	<-ctx.Done()
	return errNoAnswer
}

func (l *nodeLog) setDisconnected(disconnected bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.disconnected = disconnected
}

func (l *nodeLog) Append(ctx context.Context, name string, records []port.KeyedRecord, options port.AppendOptions) (uint64, error) {
	if err := l.checkConnected(ctx); err != nil {
		return 0, err
	}
	return l.memLog.Append(ctx, name, records, options)
}

func (l *nodeLog) Read(ctx context.Context, name string, from uint64, wait time.Duration) (port.KeyedBatch, error) {
	if err := l.checkConnected(ctx); err != nil {
		return port.KeyedBatch{}, err
	}
	return l.memLog.Read(ctx, name, from, wait)
}

func (l *nodeLog) Newest(ctx context.Context, name, after string) (port.NewestPage, error) {
	if err := l.checkConnected(ctx); err != nil {
		return port.NewestPage{}, err
	}
	return l.memLog.Newest(ctx, name, after)
}
