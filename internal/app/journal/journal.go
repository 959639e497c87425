// Package journal reads and appends to the log stream of accepted jobs and intents
// for all team partitions of one process.
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
	// readLimit is the maximum number of records per read.
	readLimit = 2000
	// readWait is the maximum time that a read waits for new records.
	readWait = 10 * time.Second
	// firstRetryDelay is the delay after the first failed read.
	firstRetryDelay = 50 * time.Millisecond
	// maxRetryDelay is the maximum delay between failed reads.
	maxRetryDelay = time.Second
)

// Error is the class of errors of this package.
var Error = errs.Class("journal")

// Listener receives the events of one team in log order. It is called with the
// journal locked and must not block or call the journal.
type Listener func(core.Event)

// Journal holds the state of the journal stream and appends records to it. It is
// safe for concurrent use.
type Journal struct {
	log         port.Log
	logger      *logrus.Entry
	logAppender *appender

	mu               sync.Mutex
	fold             *core.Fold
	next             uint64        // offset of the next record to read
	caughtUp         chan struct{} // closed once the journal has been read to its end
	ready            bool          // set when caughtUp is closed; Ready and WaitReady use caughtUp
	listeners        map[model.TeamID]map[int]Listener
	nextListenerID   int
	checkpointedNext uint64    // value of next at the last checkpoint
	checkpointedAt   time.Time // of the last checkpoint
}

// New returns a journal whose state Run loads. memberCount returns the number of
// processes that append to the journal stream.
func New(log port.Log, memberCount func() int, logger *logrus.Entry) *Journal {
	return &Journal{
		log:            log,
		logger:         logger.WithField("part", "journal"),
		logAppender:    newAppender(log, memberCount),
		caughtUp:       make(chan struct{}),
		listeners:      map[model.TeamID]map[int]Listener{},
		checkpointedAt: time.Now(),
	}
}

// Run reads and appends to the stream until the context is done. It returns an
// error if the log dropped records before they were read; the process must then be
// restarted.
func (j *Journal) Run(ctx context.Context) error {
	go j.logAppender.run(ctx)
	delay := backoff.NewExponentialBackOff()
	delay.InitialInterval = firstRetryDelay
	delay.MaxInterval = maxRetryDelay
	for ctx.Err() == nil {
		err := j.readNext(ctx)
		if err == nil {
			delay.Reset()
			continue
		}
		if core.Incomplete.Has(err) || port.LogTruncated.Has(err) {
			return Error.Wrap(err)
		}
		pause.Sleep(ctx, delay.NextBackOff())
	}
	return nil
}

func (j *Journal) readNext(ctx context.Context) error {
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
		return port.LogTruncated.New("offset %d is no longer retained; the log starts at %d", next, batch.Earliest)
	}
	j.apply(batch)
	return nil
}

// load reads all records that the log retains and rebuilds the fold.
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
	j.checkpointedNext = first.Earliest
	j.ready = true
	close(j.caughtUp)
	j.logger.WithField("records", len(records)).Info("journal loaded")
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

// WaitReady waits until Run has read the journal to its end for the first time or
// the context is done.
func (j *Journal) WaitReady(ctx context.Context) error {
	select {
	case <-j.caughtUp:
		return nil
	case <-ctx.Done():
		return Error.Wrap(ctx.Err())
	}
}

// Ready reports whether Run has read the journal to its end at least once.
func (j *Journal) Ready() bool {
	select {
	case <-j.caughtUp:
		return true
	default:
		return false
	}
}

// Subscribe calls start with the team's current state and the listener with every
// later event; both are called with the journal locked. The returned function
// cancels the subscription. The journal must be ready.
func (j *Journal) Subscribe(team model.TeamID, start func([]*core.JobState, []*logpb.Intent), listener Listener) func() {
	j.mu.Lock()
	defer j.mu.Unlock()
	start(j.fold.Jobs(team), j.fold.Intents(team))
	if j.listeners[team] == nil {
		j.listeners[team] = map[int]Listener{}
	}
	id := j.nextListenerID
	j.nextListenerID++
	j.listeners[team][id] = listener
	return func() {
		j.mu.Lock()
		defer j.mu.Unlock()
		delete(j.listeners[team], id)
	}
}

// Append sets the records' version and, if empty, their id, and appends them to the
// log, batched with those of other callers. After an error that is not of class
// port.NotStarted it is unknown whether they were appended.
func (j *Journal) Append(ctx context.Context, records ...*logpb.JournalRecord) error {
	for _, record := range records {
		record.Version = core.Version
		if record.GetId() == "" {
			record.Id = ulid.Make().String()
		}
	}
	return j.logAppender.append(ctx, records)
}

// Checkpoint appends a checkpoint if at least everyRecords records were read or
// the duration every has passed since the last one. Only the owner of the system
// partition calls it.
func (j *Journal) Checkpoint(ctx context.Context, everyRecords uint64, every time.Duration) error {
	records, err := j.checkpointIfDue(everyRecords, every)
	if err != nil || records == nil {
		return err
	}
	if err := j.Append(ctx, records...); err != nil {
		return err
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.checkpointedNext = j.next
	j.checkpointedAt = time.Now()
	return nil
}

// checkpointIfDue returns the records of a checkpoint, or nil if none is due.
func (j *Journal) checkpointIfDue(everyRecords uint64, every time.Duration) ([]*logpb.JournalRecord, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.fold == nil || j.next == 0 {
		return nil, nil
	}
	due := j.next-j.checkpointedNext >= everyRecords
	if !due && time.Since(j.checkpointedAt) < every {
		return nil, nil
	}
	return j.fold.Checkpoint(ulid.Make().String(), j.next-1)
}
