// Package teamowner runs the partition of one team. It schedules the team's
// tasks, grants permits and serves the team's requests.
package teamowner

import (
	"context"
	"sync"
	"time"

	"github.com/panjf2000/ants/v2"
	"github.com/sirupsen/logrus"

	"github.com/balsamhitch/balsamhitch/internal/app/host"
	"github.com/balsamhitch/balsamhitch/internal/app/inflight"
	"github.com/balsamhitch/balsamhitch/internal/app/journal"
	core "github.com/balsamhitch/balsamhitch/internal/core/journal"
	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/core/team"
	"github.com/balsamhitch/balsamhitch/internal/pb/convert"
	"github.com/balsamhitch/balsamhitch/internal/pb/logpb"
	"github.com/balsamhitch/balsamhitch/internal/pb/peerpb"
)

const (
	// refreshInterval is the time between updates of the owner's view of
	// templates, partitions and their owners.
	refreshInterval = 50 * time.Millisecond
	// scheduleInterval is the longest time between two scheduling passes.
	scheduleInterval = 10 * time.Millisecond
	// saveInterval is the longest time until ended tasks are appended to the
	// journal. Each report of ends triggers an append at once.
	saveInterval = 100 * time.Millisecond
	// callTimeout limits one call to another partition.
	callTimeout = 2 * time.Second
)

// Options holds the dependencies of an owner besides the host's environment.
type Options struct {
	Journal *journal.Journal
	Pool    *ants.Pool // runs calls to other partitions
	Logger  *logrus.Entry
}

// Owner runs the partition of one team for one session. It is safe for concurrent
// use.
type Owner struct {
	id      model.PartitionID
	team    model.TeamID
	epoch   model.Epoch
	env     host.Env
	journal *journal.Journal
	pool    *ants.Pool
	logger  *logrus.Entry

	started     time.Time // wall time at which the session began
	inFlight    inflight.Counter
	ready       chan struct{} // closed once the state has been restored from the journal
	wake        chan struct{} // triggers a scheduling pass
	saveTrigger chan struct{} // triggers an append of ended tasks

	mu             sync.Mutex
	state          *team.State
	waiters        waiterQueue
	readBack       map[string]chan core.Event // by record id; receives the record's event once it is read back
	querying       map[model.PartitionID]bool
	offersInFlight int // tasks with an offer in flight
	view           capacityView
	share          shareState
	unsaved        []*logpb.JournalRecord // ended tasks to append to the journal; changed by the save loop only
	saved          chan struct{}          // closed when all records up to now are in the journal
	saveWaiters    []chan struct{}        // the saved channels of earlier appends that failed
}

var _ host.Partition = (*Owner)(nil)

// New returns the Owner that runs a team's partition for the session with the given
// epoch.
func New(id model.PartitionID, epoch model.Epoch, env host.Env, options Options) *Owner {
	name := model.TeamID(id.Name())
	return &Owner{
		id:          id,
		team:        name,
		epoch:       epoch,
		env:         env,
		journal:     options.Journal,
		pool:        options.Pool,
		logger:      options.Logger.WithFields(logrus.Fields{"part": "team", "team": name}),
		started:     env.Clock().Wall(),
		ready:       make(chan struct{}),
		wake:        make(chan struct{}, 1),
		saveTrigger: make(chan struct{}, 1),
		state:       team.New(name, epoch),
		readBack:    map[string]chan core.Event{},
		querying:    map[model.PartitionID]bool{},
		saved:       make(chan struct{}),
		view:        newCapacityView(uint64(epoch)),
		share:       newShareState(),
	}
}

// Run restores the team's state from the journal and schedules its tasks until
// the context is done.
func (o *Owner) Run(ctx context.Context) {
	if o.journal.WaitReady(ctx) != nil {
		return
	}
	unsubscribe := o.journal.Subscribe(o.team, o.restore, o.applyEvent)
	defer unsubscribe()
	o.refresh(ctx)
	close(o.ready)
	go o.saveLoop(ctx)
	refreshTicker := time.NewTicker(refreshInterval)
	defer refreshTicker.Stop()
	schedule := time.NewTicker(scheduleInterval)
	defer schedule.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-refreshTicker.C:
			o.refresh(ctx)
		case <-schedule.C:
			o.schedule(ctx)
		case <-o.wake:
			o.schedule(ctx)
		}
	}
}

// Drain refuses new requests and jobs and waits until no call is in flight or the
// context is done.
func (o *Owner) Drain(ctx context.Context) {
	o.inFlight.Drain(ctx)
}

// Summary returns nil, because a team offers no capacity.
func (o *Owner) Summary() *peerpb.PartitionSummary {
	return nil
}

// Status returns the team's status for operators.
func (o *Owner) Status() *peerpb.TeamStatus {
	o.mu.Lock()
	defer o.mu.Unlock()
	return &peerpb.TeamStatus{
		Team:    string(o.team),
		Used:    convert.ResourcesPB(o.state.Ledger().KnownUse()),
		Limit:   convert.ResourcesPB(o.state.Ledger().Limit()),
		Waiting: int32(o.state.Waiting() + o.waiters.len()),
		Ratio:   o.state.Ratio(),
	}
}

// restore adds the jobs and intents that the journal holds. It is called with the
// journal locked.
func (o *Owner) restore(jobs []*core.JobState, intents []*logpb.Intent) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.env.Clock().Now()
	for _, job := range jobs {
		o.state.Restore(job)
	}
	for _, intent := range intents {
		o.state.ApplyIntent(intent, now)
	}
}

// applyEvent applies one event of the journal. It is called with the journal
// locked and does not block.
func (o *Owner) applyEvent(event core.Event) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch event.Kind {
	case core.EventAccepted:
		o.state.AddJob(event.Job)
		o.signal(o.wake)
	case core.EventIntent:
		if event.Intent.GetTaskId() == "" {
			o.state.ApplyIntent(event.Intent, o.env.Clock().Now())
		}
	case core.EventCancelled:
		o.stopTasks(o.state.Cancel(event.Job.Job.ID))
		o.signal(o.saveTrigger)
	case core.EventEnded:
		o.state.ForgetJob(event.Purged)
	case core.EventIgnored, core.EventDuplicate, core.EventTasksEnded:
	}
	if events := o.readBack[event.RecordID]; events != nil {
		delete(o.readBack, event.RecordID)
		events <- event
	}
}

// signal triggers a run of the loop that receives from the channel. It does not
// block.
func (o *Owner) signal(trigger chan struct{}) {
	select {
	case trigger <- struct{}{}:
	default:
	}
}

// mayAct reports whether this owner's lease on the partition is valid now.
func (o *Owner) mayAct() bool {
	return o.env.MayAct(o.id, o.epoch)
}

// call runs f on the pool. It returns an error at once if the pool is exhausted.
func (o *Owner) call(f func()) error {
	return o.pool.Submit(f)
}
