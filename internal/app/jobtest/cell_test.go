// Package jobtest runs team and rack owners together with stand-in workers in
// virtual time and checks the history of each run for violations.
package jobtest

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/panjf2000/ants/v2"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/balsamhitch/balsamhitch/internal/app/host"
	"github.com/balsamhitch/balsamhitch/internal/app/journal"
	"github.com/balsamhitch/balsamhitch/internal/app/rackowner"
	"github.com/balsamhitch/balsamhitch/internal/app/teamowner"
	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/history"
	"github.com/balsamhitch/balsamhitch/internal/pb/convert"
	"github.com/balsamhitch/balsamhitch/internal/pb/peerpb"
	"github.com/balsamhitch/balsamhitch/internal/port"
	"github.com/balsamhitch/balsamhitch/internal/port/porttest"
	"github.com/balsamhitch/balsamhitch/internal/standin/worker"
)

const (
	testTeam       = model.TeamID("layouts")
	urgentTeam     = model.TeamID("fittings")
	workersPerRack = 2
	racks          = 2
	poolSize       = 200
)

// owner is one owner of a partition, under one epoch.
type owner struct {
	partition host.Partition
	epoch     model.Epoch
	address   string
	journal   *journal.Journal
	stop      context.CancelFunc
	killed    bool
}

// cell is a cell without entry VMs. Ownership and configuration are faked.
type cell struct {
	t         *testing.T
	log       *porttest.MemLog
	logClient *porttest.MemClient
	peers     *porttest.Peers
	pool      *ants.Pool
	logger    *logrus.Entry
	history   *history.Recorder

	mu                 sync.Mutex
	workers            map[string]*worker.Worker // by address
	vms                []model.VM
	owners             map[model.PartitionID]*owner
	template           model.WorkspaceTemplate
	domainsOut         map[model.FailureDomain]bool
	unresponsive       map[string]bool // addresses of workers that do not answer
	startAnswersToLose int             // number of starts whose answers are still to be lost
	epoch              model.Epoch
	submissions        int
	teams              map[model.JobID]model.TeamID // of submitted jobs
	demands            map[model.PartitionID]*peerpb.TeamDemand
	// urgentShareWeight is the share weight of urgentTeam; zero means that of the
	// template.
	urgentShareWeight float64
}

func newCell(t *testing.T) *cell {
	t.Helper()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	pool, err := ants.NewPool(poolSize, ants.WithDisablePurge(true))
	require.NoError(t, err)
	log := porttest.NewMemLog()
	c := &cell{
		t:            t,
		log:          log,
		logClient:    log.Client(nil),
		peers:        porttest.NewPeers(),
		pool:         pool,
		logger:       logrus.NewEntry(logger),
		history:      &history.Recorder{},
		workers:      map[string]*worker.Worker{},
		owners:       map[model.PartitionID]*owner{},
		domainsOut:   map[model.FailureDomain]bool{},
		unresponsive: map[string]bool{},
		teams:        map[model.JobID]model.TeamID{},
		demands:      map[model.PartitionID]*peerpb.TeamDemand{},
		template: model.WorkspaceTemplate{
			Team:        testTeam,
			Kinds:       []model.WorkKind{model.WorkBatch, model.WorkGang},
			ShareWeight: 1,
			UpperLimit:  model.Resources{MilliCPU: 6000, MemoryMiB: 1 << 20},
			MaxQueued:   10000,
		},
		epoch: 10,
	}
	c.peers.SetDelay(time.Millisecond)
	c.history.Add(history.Event{Kind: history.LimitSet, Team: testTeam, Size: c.template.UpperLimit})
	for r := range racks {
		for w := range workersPerRack {
			c.addWorker(r, w)
		}
	}
	for r := range racks {
		c.startOwner(model.RackPartition(fmt.Sprint("r", r)))
	}
	c.startOwner(model.TeamPartition(testTeam))
	t.Cleanup(pool.Release)
	return c
}

func (c *cell) addWorker(rack, index int) {
	id := fmt.Sprintf("vm-%d-%d", rack, index)
	vm := model.VM{
		ID: model.VMID(id), Role: model.RoleWorker, Address: id,
		FailureDomain: model.FailureDomain(fmt.Sprint("d", rack)), Rack: fmt.Sprint("r", rack),
		Capacity: model.Resources{MilliCPU: 4000, MemoryMiB: 4096},
	}
	c.vms = append(c.vms, vm)
	c.workers[id] = worker.New(worker.Options{
		VM:          vm,
		ClockOffset: time.Duration(rack+index) * time.Hour,
		History:     c.history,
		Progress:    worker.NewProgress(),
	})
}

// startOwner starts a new owner of the partition under the next epoch. The previous
// owner, if it still runs, is not notified.
func (c *cell) startOwner(id model.PartitionID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.epoch++
	ctx, stop := context.WithCancel(context.Background())
	o := &owner{
		epoch:   c.epoch,
		address: fmt.Sprintf("%s@%d", id, c.epoch),
		stop:    stop,
		journal: journal.New(c.logClient, func() int { return 1 }, c.logger),
	}
	e := &env{cell: c, owner: o, id: id, clock: porttest.NewClock(nil, time.Duration(c.epoch)*time.Minute, 0)}
	if id.Kind() == model.KindRack {
		o.partition = rackowner.New(id, o.epoch, e, rackowner.Options{Worker: c, Pool: c.pool, Logger: c.logger})
	} else {
		go func() { _ = o.journal.Run(ctx) }()
		o.partition = teamowner.New(id, o.epoch, e, teamowner.Options{Journal: o.journal, Pool: c.pool, Logger: c.logger})
	}
	c.peers.Attach(o.address, o.partition)
	c.owners[id] = o
	go o.partition.Run(ctx)
	if demander, ok := o.partition.(host.Demander); ok {
		go c.publishDemand(ctx, id, demander)
	}
}

// killOwner stops the owner of the partition without a handover.
func (c *cell) killOwner(id model.PartitionID) {
	c.mu.Lock()
	o := c.owners[id]
	o.killed = true
	c.mu.Unlock()
	c.peers.Attach(o.address, nil)
	o.stop()
}

// killAllOwners stops all owners, so that the synctest bubble can end.
func (c *cell) killAllOwners() {
	for id := range c.owners {
		c.killOwner(id)
	}
}

func (c *cell) callOwner(id model.PartitionID, request *peerpb.Request) (*peerpb.Response, error) {
	c.mu.Lock()
	address := c.owners[id].address
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	return c.peers.Client("caller", nil).Call(ctx, address, request)
}

// submit submits a job, which must be accepted, and returns its id.
func (c *cell) submit(job model.Job) model.JobID {
	c.t.Helper()
	id, ok := c.trySubmit(job)
	require.True(c.t, ok, "the job was not accepted")
	return id
}

// trySubmit submits a job. It returns false if the job was refused or the outcome
// is unknown.
func (c *cell) trySubmit(job model.Job) (model.JobID, bool) {
	c.submissions++
	call := fmt.Sprint("call-", c.submissions)
	job.ID = model.JobID(ulid.Make().String())
	if job.Team == "" {
		job.Team = testTeam
	}
	response, err := c.callOwner(model.TeamPartition(job.Team), &peerpb.Request{
		Body: &peerpb.Request_SubmitJob{SubmitJob: &peerpb.SubmitJob{Job: convert.JobPB(job)}},
	})
	reply := response.GetSubmitJob()
	if err != nil || reply == nil || reply.GetRefusal() != nil {
		return "", false
	}
	id := model.JobID(reply.GetJobId())
	c.history.Add(history.Event{
		Kind: history.Accepted, Call: call, Job: id, Team: job.Team,
		Tasks: job.Tasks, NonIdempotent: job.NonIdempotent,
	})
	c.teams[id] = job.Team
	return id, true
}

func (c *cell) status(id model.JobID) *peerpb.JobStatus {
	name := c.teams[id]
	response, err := c.callOwner(model.TeamPartition(name), &peerpb.Request{
		Body: &peerpb.Request_GetJob{GetJob: &peerpb.GetJob{Team: string(name), JobId: string(id)}},
	})
	if err != nil {
		return &peerpb.JobStatus{}
	}
	return response.GetJobStatus()
}

// await polls a job until it reaches the state, for at most limit of virtual time.
func (c *cell) await(id model.JobID, state string, limit time.Duration) {
	c.t.Helper()
	var last *peerpb.JobStatus
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if last = c.status(id); last.GetState() == state {
			return
		}
	}
	require.Failf(c.t, "job did not reach its state", "want %s, have %v", state, last)
}

// checkHistory fails the test for each violation in the history and for racks with
// an inconsistent state.
func (c *cell) checkHistory() {
	c.t.Helper()
	for id, o := range c.owners {
		if rack, ok := o.partition.(*rackowner.Owner); ok {
			require.NoError(c.t, rack.Check(), "%s", id)
		}
	}
	for _, violation := range history.Check(c.history.Since(0), history.Options{Unfinished: true}) {
		c.t.Error(violation)
	}
}

// starts counts the recorded starts of a job's tasks.
func (c *cell) starts(id model.JobID) int {
	count := 0
	for _, e := range c.history.Since(0) {
		if e.Kind == history.TaskStart && e.Job == id {
			count++
		}
	}
	return count
}

// workerAt returns the worker with the address, or an error if it does not answer.
func (c *cell) workerAt(address string) (*worker.Worker, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unresponsive[address] {
		return nil, porttest.PeerFailed.New("%s does not answer", address)
	}
	return c.workers[address], nil
}

// Heartbeat, Start and Act implement port.Worker on the stand-in workers.

func (c *cell) Heartbeat(ctx context.Context, address string, heartbeat port.Heartbeat) (port.WorkerReport, error) {
	w, err := c.workerAt(address)
	if err != nil {
		return port.WorkerReport{}, err
	}
	return w.Heartbeat(ctx, heartbeat)
}

func (c *cell) Start(ctx context.Context, address string, start port.StartTask) error {
	w, err := c.workerAt(address)
	if err != nil {
		return err
	}
	err = w.Start(ctx, start)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.startAnswersToLose > 0 {
		c.startAnswersToLose--
		return porttest.PeerFailed.New("the answer was lost")
	}
	return err
}

func (c *cell) Act(ctx context.Context, address string, attempt port.TaskAttempt, epoch model.Epoch, action port.TaskAction) error {
	w, err := c.workerAt(address)
	if err != nil {
		return err
	}
	return w.Act(ctx, attempt, epoch, action)
}

var (
	faultsDown = porttest.Faults{Down: true}
	faultsNone = porttest.Faults{}
)

func (c *cell) cancel(id model.JobID) {
	_, err := c.callOwner(model.TeamPartition(testTeam), &peerpb.Request{
		Body: &peerpb.Request_CancelJob{CancelJob: &peerpb.CancelJob{Team: string(testTeam), JobId: string(id)}},
	})
	require.NoError(c.t, err)
}

// vmOf returns the id, which is also the address, of the worker that first started a
// task of the job, or "" if none has.
func (c *cell) vmOf(id model.JobID) string {
	for _, e := range c.history.Since(0) {
		if e.Kind == history.TaskStart && e.Job == id {
			return string(e.VM)
		}
	}
	return ""
}

// gangSlack is the time in which all members of a gang must start, and in which
// the others must be stopped after one of them is lost.
const gangSlack = 12 * time.Second

// checkGangRanTogether fails the test if only some members of the gang ran for
// gangSlack or longer.
func (c *cell) checkGangRanTogether(id model.JobID, size int) {
	c.t.Helper()
	running := 0
	var since time.Time
	for _, e := range c.history.Since(0) {
		if e.Job != id || e.Kind != history.TaskStart && e.Kind != history.TaskEnd {
			continue
		}
		if running > 0 && running < size {
			require.Less(c.t, e.At.Sub(since), gangSlack, "%d of %d members ran alone", running, size)
		}
		if e.Kind == history.TaskStart {
			running++
		} else {
			running--
		}
		since = e.At
	}
}

// setLimit replaces the upper limit of all teams and waits for owners to apply it.
func (c *cell) setLimit(limit model.Resources) {
	c.mu.Lock()
	c.template.UpperLimit = limit
	c.mu.Unlock()
	c.history.Add(history.Event{Kind: history.LimitSet, Team: testTeam, Size: limit})
	time.Sleep(time.Second)
}

// setGone removes a worker and its tasks, or adds it again without tasks.
func (c *cell) setGone(address string, gone bool) {
	c.mu.Lock()
	w := c.workers[address]
	c.unresponsive[address] = gone
	c.mu.Unlock()
	w.SetGone(gone)
}

// addTeam starts the owner of another team, which has the same template.
func (c *cell) addTeam(name model.TeamID) {
	c.history.Add(history.Event{Kind: history.LimitSet, Team: name, Size: c.template.UpperLimit})
	c.startOwner(model.TeamPartition(name))
}

// firstStart returns the time at which the first task of a job started, or the zero
// time if none has.
func (c *cell) firstStart(id model.JobID) time.Time {
	for _, e := range c.history.Since(0) {
		if e.Kind == history.TaskStart && e.Job == id {
			return e.At
		}
	}
	return time.Time{}
}

// meanRunning returns the average number of running tasks of a team between from
// and to.
func (c *cell) meanRunning(name model.TeamID, from, to time.Time) float64 {
	var sum time.Duration
	starts := map[string]time.Time{}
	add := func(start, end time.Time) {
		if start.Before(from) {
			start = from
		}
		if end.After(to) {
			end = to
		}
		sum += max(end.Sub(start), 0)
	}
	for _, e := range c.history.Since(0) {
		if e.Team != name {
			continue
		}
		switch e.Kind {
		case history.TaskStart:
			starts[e.Permit] = e.At
		case history.TaskEnd:
			add(starts[e.Permit], e.At)
			delete(starts, e.Permit)
		}
	}
	for _, start := range starts {
		add(start, to)
	}
	return sum.Seconds() / to.Sub(from).Seconds()
}
