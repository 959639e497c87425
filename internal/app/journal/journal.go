// Package journal reads and writes the stream of accepted jobs and intents for
// all team partitions of one process.
package journal

import (
	"context"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/oklog/ulid/v2"
	"github.com/sirupsen/logrus"
	"github.com/zeebo/errs"

	"github.com/balsamhitch/balsamhitch/internal/app/pause"
	core "github.com/balsamhitch/balsamhitch/internal/core/journal"
	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/pb/logpb"
	"github.com/balsamhitch/balsamhitch/internal/port"
)

const (
	// readLimit bounds the records of one read.
	readLimit = 2000
	// readWait is how long one read waits for new records.
	readWait = 10 * time.Second
	// retryDelay is the first delay after a failed read.
	retryDelay = 50 * time.Millisecond
	// maxRetryDelay bounds the delay between failed reads.
	maxRetryDelay = time.Second
)

// Error is the class of errors of this package.
var Error = errs.Class("journal")

// Listener hears of every event of one team, in log order. It is called with
// the journal locked and must not block or call back.
type Listener func(core.Event)

// Journal is safe for concurrent use.
type Journal struct {
	log     port.Log
	logger  *logrus.Entry
	appends *appender

	mu        sync.Mutex
	fold      *core.Fold
	next      uint64 // offset of the next record to read
	caughtUp  chan struct{}
	ready     bool
	listeners map[model.TeamID]map[int]Listener
	nextID    int
	saved     uint64    // next at the last checkpoint
	savedAt   time.Time // of the last checkpoint
}

// New returns a journal that Run fills. Members returns how many processes
// append to the log.
func New(log port.Log, members func() int, logger *logrus.Entry) *Journal {
	return &Journal{
		log:       log,
		logger:    logger.WithField("part", "journal"),
		appends:   newAppender(log, members),
		caughtUp:  make(chan struct{}),
		listeners: map[model.TeamID]map[int]Listener{},
		savedAt:   time.Now(),
	}
}

// Run reads the stream until the context ends. It returns an error when
// records were dropped from the log before they were read; the process must
// then start anew.
func (j *Journal) Run(ctx context.Context) error {
	go j.appends.run(ctx)
	delay := backoff.NewExponentialBackOff()
	delay.InitialInterval = retryDelay
	delay.MaxInterval = maxRetryDelay
	for ctx.Err() == nil {
		err := j.step(ctx)
		if err == nil {
			delay.Reset()
			continue
		}
		if core.ErrIncomplete.Has(err) || port.LogTruncated.Has(err) {
			return Error.Wrap(err)
		}
		pause.Sleep(ctx, delay.NextBackOff())
	}
	return nil
}

func (j *Journal) step(ctx context.Context) error {
	j.mu.Lock()
	loaded := j.fold != nil
	next := j.next
	j.mu.Unlock()
	if !loaded {
		return j.load(ctx)
	}
	batch, err := j.log.Read(ctx, core.Stream, next, readLimit, readWait)
	if err != nil {
		return err
	}
	if batch.Earliest > next {
		return port.LogTruncated.New("offset %d is gone, the log starts at %d", next, batch.Earliest)
	}
	j.apply(batch)
	return nil
}

// load reads everything that the log keeps and rebuilds the fold.
func (j *Journal) load(ctx context.Context) error {
	first, err := j.log.Read(ctx, core.Stream, 0, 1, 0)
	if err != nil && !port.LogTruncated.Has(err) {
		return err
	}
	next := first.Earliest
	var records []core.Record
	for {
		batch, err := j.log.Read(ctx, core.Stream, next, readLimit, 0)
		if err != nil {
			return err
		}
		for _, record := range batch.Records {
			records = append(records, core.Record(record))
			next = record.Offset + 1
		}
		if next >= batch.Next {
			break
		}
	}
	fold, err := core.Restore(first.Earliest, records)
	if err != nil {
		return err
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.fold = fold
	j.next = next
	j.saved = first.Earliest
	j.ready = true
	close(j.caughtUp)
	j.logger.WithField("records", len(records)).Info("Read the journal.")
	return nil
}

func (j *Journal) apply(batch port.Batch) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, record := range batch.Records {
		event := j.fold.Apply(record.Data)
		j.next = record.Offset + 1
		for _, listener := range j.listeners[event.Team] {
			listener(event)
		}
	}
}

// WaitReady blocks until the journal has been read to its end once.
func (j *Journal) WaitReady(ctx context.Context) error {
	select {
	case <-j.caughtUp:
		return nil
	case <-ctx.Done():
		return Error.Wrap(ctx.Err())
	}
}

// Ready reports whether the journal has been read to its end once.
func (j *Journal) Ready() bool {
	select {
	case <-j.caughtUp:
		return true
	default:
		return false
	}
}

// Subscribe calls start with the team's present state, then the listener with
// every later event. The returned function ends the subscription. The journal
// must be ready.
func (j *Journal) Subscribe(team model.TeamID, start func([]*core.JobState, []*logpb.Intent), listener Listener) func() {
	j.mu.Lock()
	defer j.mu.Unlock()
	start(j.fold.Jobs(team), j.fold.Intents(team))
	if j.listeners[team] == nil {
		j.listeners[team] = map[int]Listener{}
	}
	id := j.nextID
	j.nextID++
	j.listeners[team][id] = listener
	return func() {
		j.mu.Lock()
		defer j.mu.Unlock()
		delete(j.listeners[team], id)
	}
}

// Append puts the records on the log, several callers' in one append, and
// fills in their version and id. After an error they may or may not be there.
func (j *Journal) Append(ctx context.Context, records ...*logpb.JournalRecord) error {
	for _, record := range records {
		record.Version = core.Version
		if record.GetId() == "" {
			record.Id = ulid.Make().String()
		}
	}
	return j.appends.append(ctx, records)
}

// Checkpoint appends a snapshot if enough has come since the last one. Only
// the holder of the system partition calls it.
func (j *Journal) Checkpoint(ctx context.Context, everyRecords uint64, every time.Duration) error {
	records, err := j.snapshot(everyRecords, every)
	if err != nil || records == nil {
		return err
	}
	if err := j.Append(ctx, records...); err != nil {
		return err
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.saved = j.next
	j.savedAt = time.Now()
	return nil
}

func (j *Journal) snapshot(everyRecords uint64, every time.Duration) ([]*logpb.JournalRecord, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.fold == nil || j.next == 0 {
		return nil, nil
	}
	due := j.next-j.saved >= everyRecords
	if !due && time.Since(j.savedAt) < every {
		return nil, nil
	}
	return j.fold.Checkpoint(ulid.Make().String(), j.next-1)
}
