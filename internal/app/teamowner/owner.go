// Package teamowner runs the partition of one team: its queue, its permits and
// the answers to its requests.
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
	// settleEvery is the time between looks at the partitions' holders.
	settleEvery = 50 * time.Millisecond
	// scheduleEvery bounds the time that a waiting task goes unlooked at.
	scheduleEvery = 10 * time.Millisecond
	// flushEvery bounds the time until ended tasks are appended; each report of
	// ends asks for it at once.
	flushEvery = 100 * time.Millisecond
	// callTimeout bounds one call to another partition.
	callTimeout = 2 * time.Second
)

// Options are the parts that an owner uses besides the host's environment.
type Options struct {
	Journal *journal.Journal
	Pool    *ants.Pool // runs calls to other partitions
	Logger  *logrus.Entry
}

// Owner is the partition of one team. It is safe for concurrent use.
type Owner struct {
	id      model.PartitionID
	team    model.TeamID
	epoch   model.Epoch
	env     host.Env
	journal *journal.Journal
	pool    *ants.Pool
	logger  *logrus.Entry

	started  time.Time // wall time at which the tenure began
	inFlight inflight.Counter
	ready    chan struct{} // closed once the journal has been taken over
	wake     chan struct{} // asks for a scheduling pass
	flush    chan struct{} // asks for an append of ended tasks

	mu       sync.Mutex
	state    *team.State
	waiters  waiterQueue
	appended map[string]chan core.Event // by record id
	querying map[model.PartitionID]bool
	offered  int // tasks whose offers are unanswered
	view     capacityView
	share    share
	unsaved  []*logpb.JournalRecord // changed by the flush loop only
	saved    chan struct{}          // closed when all up to now is on the log
	waitSave []chan struct{}        // of earlier appends that failed
}

var _ host.Partition = (*Owner)(nil)

// New returns the owner of a team's partition for one tenure.
func New(id model.PartitionID, epoch model.Epoch, env host.Env, options Options) *Owner {
	name := model.TeamID(id.Name())
	return &Owner{
		id:       id,
		team:     name,
		epoch:    epoch,
		env:      env,
		journal:  options.Journal,
		pool:     options.Pool,
		logger:   options.Logger.WithFields(logrus.Fields{"part": "team", "team": name}),
		started:  env.Clock().Wall(),
		ready:    make(chan struct{}),
		wake:     make(chan struct{}, 1),
		flush:    make(chan struct{}, 1),
		state:    team.New(name, epoch),
		appended: map[string]chan core.Event{},
		querying: map[model.PartitionID]bool{},
		saved:    make(chan struct{}),
		view:     newCapacityView(uint64(epoch)),
		share:    newShare(),
	}
}

// Run works until the context ends.
func (o *Owner) Run(ctx context.Context) {
	if o.journal.WaitReady(ctx) != nil {
		return
	}
	unsubscribe := o.journal.Subscribe(o.team, o.takeOver, o.heard)
	defer unsubscribe()
	o.refresh(ctx)
	close(o.ready)
	go o.flushLoop(ctx)
	settle := time.NewTicker(settleEvery)
	defer settle.Stop()
	schedule := time.NewTicker(scheduleEvery)
	defer schedule.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-settle.C:
			o.refresh(ctx)
		case <-schedule.C:
			o.schedule(ctx)
		case <-o.wake:
			o.schedule(ctx)
		}
	}
}

// Drain refuses new requests and jobs and waits for calls in flight.
func (o *Owner) Drain(ctx context.Context) {
	o.inFlight.Drain(ctx)
}

// Summary is nil: a team offers no capacity.
func (o *Owner) Summary() *peerpb.PartitionSummary {
	return nil
}

// Status returns the team's line for operators.
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

// takeOver starts from the journal's state. It is called with the journal
// locked.
func (o *Owner) takeOver(jobs []*core.JobState, intents []*logpb.Intent) {
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

// heard takes over one event of the journal. It is called with the journal
// locked and does not block.
func (o *Owner) heard(event core.Event) {
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
		o.signal(o.flush)
	case core.EventEnded:
		o.state.ForgetJob(event.Forgotten)
	case core.EventIgnored, core.EventDuplicate, core.EventTasks:
	}
	if waiting := o.appended[event.Record]; waiting != nil {
		delete(o.appended, event.Record)
		waiting <- event
	}
}

// signal asks a loop to run soon.
func (o *Owner) signal(loop chan struct{}) {
	select {
	case loop <- struct{}{}:
	default:
	}
}

// mayAct reports whether this process may still decide for the team.
func (o *Owner) mayAct() bool {
	return o.env.MayAct(o.id, o.epoch)
}

// call runs f on the pool, or refuses at once when the pool is exhausted.
func (o *Owner) call(f func()) error {
	return o.pool.Submit(f)
}
