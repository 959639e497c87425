// Package jobtest runs team and rack owners together with stand-in workers in
// virtual time and judges each run by the history checker.
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
	workersPerRack = 2 // of each rack
	racks          = 2
	poolSize       = 200
)

// holder is a partition and the process that runs it.
type ownerProcess struct {
	partition host.Partition
	epoch     model.Epoch
	address   string
	journal   *journal.Journal
	stop      context.CancelFunc
	killed    bool
}

// cell is a whole cell without entries: fakes stand for ownership and
// configuration.
type cell struct {
	t       *testing.T
	log     *porttest.MemLog
	logs    *porttest.MemClient
	peers   *porttest.Peers
	pool    *ants.Pool
	logger  *logrus.Entry
	history *history.Recorder

	mu                 sync.Mutex
	workers            map[string]*worker.Worker // by address
	vms                []model.VM
	owners             map[model.PartitionID]*ownerProcess
	template           model.WorkspaceTemplate
	domainsOut         map[model.FailureDomain]bool
	unresponsive       map[string]bool // addresses that do not answer
	startAnswersToLose int             // starts whose answer is lost
	epoch              model.Epoch
	submissions        int
	teams              map[model.JobID]model.TeamID // of submitted jobs
	demands            map[model.PartitionID]*peerpb.TeamDemand
	// urgentShare replaces the second team's share if it is set.
	urgentShare float64
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
		logs:         log.Client(nil),
		peers:        porttest.NewPeers(),
		pool:         pool,
		logger:       logrus.NewEntry(logger),
		history:      &history.Recorder{},
		workers:      map[string]*worker.Worker{},
		owners:       map[model.PartitionID]*ownerProcess{},
		domainsOut:   map[model.FailureDomain]bool{},
		unresponsive: map[string]bool{},
		teams:        map[model.JobID]model.TeamID{},
		demands:      map[model.PartitionID]*peerpb.TeamDemand{},
		template: model.WorkspaceTemplate{
			Team:       testTeam,
			Kinds:      []model.WorkKind{model.WorkBatch, model.WorkGang},
			Share:      1,
			UpperLimit: model.Resources{MilliCPU: 6000, MemoryMiB: 1 << 20},
			MaxQueued:  10000,
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

// take gives the partition to a new process, whose claim the former holder
// has not heard of.
func (c *cell) startOwner(id model.PartitionID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.epoch++
	ctx, stop := context.WithCancel(context.Background())
	h := &ownerProcess{
		epoch:   c.epoch,
		address: fmt.Sprintf("%s@%d", id, c.epoch),
		stop:    stop,
		journal: journal.New(c.logs, func() int { return 1 }, c.logger),
	}
	e := &env{cell: c, owner: h, id: id, clock: porttest.NewClock(nil, time.Duration(c.epoch)*time.Minute, 0)}
	if id.Kind() == model.KindRack {
		h.partition = rackowner.New(id, h.epoch, e, rackowner.Options{Worker: c, Pool: c.pool, Logger: c.logger})
	} else {
		go func() { _ = h.journal.Run(ctx) }()
		h.partition = teamowner.New(id, h.epoch, e, teamowner.Options{Journal: h.journal, Pool: c.pool, Logger: c.logger})
	}
	c.peers.Attach(h.address, h.partition)
	c.owners[id] = h
	go h.partition.Run(ctx)
	if owner, ok := h.partition.(host.Demander); ok {
		go c.publishDemand(ctx, id, owner)
	}
}

// kill ends the process that holds the partition.
func (c *cell) killOwner(id model.PartitionID) {
	c.mu.Lock()
	h := c.owners[id]
	h.killed = true
	c.mu.Unlock()
	c.peers.Attach(h.address, nil)
	h.stop()
}

// stop ends everything, so that the bubble can end.
func (c *cell) killAllOwners() {
	for id := range c.owners {
		c.killOwner(id)
	}
}

func (c *cell) call(id model.PartitionID, request *peerpb.Request) (*peerpb.Response, error) {
	c.mu.Lock()
	address := c.owners[id].address
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	return c.peers.Client("caller", nil).Call(ctx, address, request)
}

// submit hands in a job, which must be accepted, and returns its id.
func (c *cell) submit(job model.Job) model.JobID {
	c.t.Helper()
	id, ok := c.trySubmit(job)
	require.True(c.t, ok, "the job was not accepted")
	return id
}

// trySubmit hands in a job and tells whether it was accepted for certain.
func (c *cell) trySubmit(job model.Job) (model.JobID, bool) {
	c.submissions++
	call := fmt.Sprint("call-", c.submissions)
	job.ID = model.JobID(ulid.Make().String())
	if job.Team == "" {
		job.Team = testTeam
	}
	response, err := c.call(model.TeamPartition(job.Team), &peerpb.Request{
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
	response, err := c.call(model.TeamPartition(name), &peerpb.Request{
		Body: &peerpb.Request_GetJob{GetJob: &peerpb.GetJob{Team: string(name), JobId: string(id)}},
	})
	if err != nil {
		return &peerpb.JobStatus{}
	}
	return response.GetJobStatus()
}

// await polls a job until it has the state, for at most the limit of virtual
// time.
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

// judge fails the test for every broken promise.
func (c *cell) checkHistory() {
	c.t.Helper()
	for id, h := range c.owners {
		if rack, ok := h.partition.(*rackowner.Owner); ok {
			require.NoError(c.t, rack.Check(), "%s", id)
		}
	}
	for _, broken := range history.Check(c.history.Since(0), history.Options{Unfinished: true}) {
		c.t.Error(broken)
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

// Heartbeat, Start and Act reach the stand-in workers.

func (c *cell) workerAt(address string) (*worker.Worker, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unresponsive[address] {
		return nil, porttest.PeerFailed.New("%s does not answer", address)
	}
	return c.workers[address], nil
}

func (c *cell) Heartbeat(ctx context.Context, address string, beat port.Heartbeat) (port.WorkerReport, error) {
	w, err := c.workerAt(address)
	if err != nil {
		return port.WorkerReport{}, err
	}
	return w.Heartbeat(ctx, beat)
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

// cancel cancels a job.
func (c *cell) cancel(id model.JobID) {
	_, err := c.call(model.TeamPartition(testTeam), &peerpb.Request{
		Body: &peerpb.Request_CancelJob{CancelJob: &peerpb.CancelJob{Team: string(testTeam), JobId: string(id)}},
	})
	require.NoError(c.t, err)
}

// vmOf returns a worker that started a task of the job.
func (c *cell) vmOf(id model.JobID) string {
	for _, e := range c.history.Since(0) {
		if e.Kind == history.TaskStart && e.Job == id {
			return string(e.VM)
		}
	}
	return ""
}

// gangSlack is the time within which the members of a gang must start and
// within which they must be stopped once one of them is lost.
const gangSlack = 12 * time.Second

// checkGangWhole fails if a part of the gang ran alone for longer than the
// slack.
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

// setLimit replaces the team's upper limit.
func (c *cell) setLimit(limit model.Resources) {
	c.mu.Lock()
	c.template.UpperLimit = limit
	c.mu.Unlock()
	c.history.Add(history.Event{Kind: history.LimitSet, Team: testTeam, Size: limit})
	time.Sleep(time.Second)
}

// setGone takes a worker away with its tasks, or brings it back empty.
func (c *cell) setGone(address string, gone bool) {
	c.mu.Lock()
	w := c.workers[address]
	c.unresponsive[address] = gone
	c.mu.Unlock()
	w.SetGone(gone)
}

// addTeam starts the owner of another team with the same template.
func (c *cell) addTeam(name model.TeamID) {
	c.history.Add(history.Event{Kind: history.LimitSet, Team: name, Size: c.template.UpperLimit})
	c.startOwner(model.TeamPartition(name))
}

// firstStart returns when the first task of a job started.
func (c *cell) firstStart(id model.JobID) time.Time {
	for _, e := range c.history.Since(0) {
		if e.Kind == history.TaskStart && e.Job == id {
			return e.At
		}
	}
	return time.Time{}
}

// meanRunning returns how many tasks of a team ran on average.
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
