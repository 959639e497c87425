package host

import (
	"context"
	"sync"

	"github.com/sirupsen/logrus"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/pb/convert"
	"github.com/balsamhitch/balsamhitch/internal/pb/peerpb"
)

// runningPartition is a running partition that this member owns.
type runningPartition struct {
	partition Partition
	epoch     model.Epoch
	cancel    context.CancelFunc
	stopped   chan struct{}
}

// Manager runs the partitions that this member owns. It is safe for
// concurrent use.
type Manager struct {
	env       Env
	factories map[model.PartitionKind]Factory
	logger    *logrus.Entry

	mu      sync.RWMutex
	running map[model.PartitionID]*runningPartition
}

// NewManager returns a manager that creates partitions with the factory of their
// kind. Partitions of kinds without a factory are not run.
func NewManager(env Env, factories map[model.PartitionKind]Factory, logger *logrus.Entry) *Manager {
	return &Manager{
		env:       env,
		factories: factories,
		logger:    logger.WithField("part", "host"),
		running:   map[model.PartitionID]*runningPartition{},
	}
}

// Acquired starts a newly acquired partition and cancels the one of an earlier
// session. It does not block.
func (m *Manager) Acquired(id model.PartitionID, epoch model.Epoch) {
	factory := m.factories[id.Kind()]
	if factory == nil {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	started := &runningPartition{
		partition: factory(id, epoch, m.env),
		epoch:     epoch,
		cancel:    cancel,
		stopped:   make(chan struct{}),
	}
	m.mu.Lock()
	previous := m.running[id]
	m.running[id] = started
	m.mu.Unlock()
	if previous != nil {
		previous.cancel()
	}
	m.logger.WithFields(logrus.Fields{"partition": id, "epoch": epoch}).Info("partition acquired; starting its owner")
	go func() {
		defer close(started.stopped)
		started.partition.Run(ctx)
	}()
}

// Lost stops a partition whose lease has ended. Sessions with other epochs are not
// affected. It does not block.
func (m *Manager) Lost(id model.PartitionID, epoch model.Epoch) {
	m.mu.Lock()
	current := m.running[id]
	if current == nil || current.epoch != epoch {
		m.mu.Unlock()
		return
	}
	delete(m.running, id)
	m.mu.Unlock()
	current.cancel()
	m.logger.WithFields(logrus.Fields{"partition": id, "epoch": epoch}).Info("partition lease lost; stopping its owner")
}

// Drain drains a partition before it is handed over: its work in flight finishes.
// It returns at once if the partition's session with this epoch does not run here.
func (m *Manager) Drain(ctx context.Context, id model.PartitionID, epoch model.Epoch) {
	m.mu.RLock()
	current := m.running[id]
	m.mu.RUnlock()
	if current == nil || current.epoch != epoch {
		return
	}
	current.partition.Drain(ctx)
}

// Stop stops all partitions and waits until they have returned or the context
// is done.
func (m *Manager) Stop(ctx context.Context) {
	m.mu.Lock()
	running := m.running
	m.running = map[model.PartitionID]*runningPartition{}
	m.mu.Unlock()
	for _, p := range running {
		p.cancel()
	}
	for _, p := range running {
		select {
		case <-p.stopped:
		case <-ctx.Done():
			return
		}
	}
}

// Running returns the running partition with the id.
func (m *Manager) Running(id model.PartitionID) (Partition, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	current := m.running[id]
	if current == nil {
		return nil, false
	}
	return current.partition, true
}

// Each calls f for every running partition, without holding the lock.
func (m *Manager) Each(f func(model.PartitionID, Partition)) {
	m.mu.RLock()
	partitions := make(map[model.PartitionID]Partition, len(m.running))
	for id, p := range m.running {
		partitions[id] = p.partition
	}
	m.mu.RUnlock()
	for id, partition := range partitions {
		f(id, partition)
	}
}

// Summaries returns the summaries of all running partitions that have one.
func (m *Manager) Summaries() []*peerpb.PartitionSummary {
	var summaries []*peerpb.PartitionSummary
	m.Each(func(_ model.PartitionID, partition Partition) {
		if summary := partition.Summary(); summary != nil {
			summaries = append(summaries, summary)
		}
	})
	return summaries
}

// Demands returns the demands of the teams whose partitions run here.
func (m *Manager) Demands() []*peerpb.TeamDemand {
	var demands []*peerpb.TeamDemand
	m.Each(func(_ model.PartitionID, partition Partition) {
		demander, ok := partition.(Demander)
		if !ok {
			return
		}
		if demand := demander.Demand(); demand != nil {
			demands = append(demands, demand)
		}
	})
	return demands
}

// Serve routes a call to its partition. Calls for partitions that do not run here
// are refused with NOT_OWNER.
func (m *Manager) Serve(ctx context.Context, request *peerpb.Request) *peerpb.Response {
	id := PartitionOf(request)
	partition, ok := m.Running(id)
	if !ok {
		detail := "partition " + string(id) + " is not held here"
		return Refusal(request, convert.NewRefusal(peerpb.Refusal_NOT_OWNER, detail))
	}
	return partition.Serve(ctx, request)
}
