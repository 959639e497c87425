package host

import (
	"context"
	"sync"

	"github.com/sirupsen/logrus"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/pb/convert"
	"github.com/balsamhitch/balsamhitch/internal/pb/peerpb"
)

// tenure is a partition that this member holds.
type tenure struct {
	partition Partition
	epoch     model.Epoch
	cancel    context.CancelFunc
	stopped   chan struct{}
}

// Manager runs a partition for each claim of this member. It is safe for
// concurrent use.
type Manager struct {
	env       Env
	factories map[model.PartitionKind]Factory
	logger    *logrus.Entry

	mu      sync.RWMutex
	tenures map[model.PartitionID]*tenure
}

// NewManager returns a manager that creates partitions by the factory of their
// kind. Kinds without a factory are held but do nothing.
func NewManager(env Env, factories map[model.PartitionKind]Factory, logger *logrus.Entry) *Manager {
	return &Manager{
		env:       env,
		factories: factories,
		logger:    logger.WithField("part", "host"),
		tenures:   map[model.PartitionID]*tenure{},
	}
}

// Acquired starts the partition of a new claim. It does not block.
func (m *Manager) Acquired(id model.PartitionID, epoch model.Epoch) {
	factory := m.factories[id.Kind()]
	if factory == nil {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	t := &tenure{
		partition: factory(id, epoch, m.env),
		epoch:     epoch,
		cancel:    cancel,
		stopped:   make(chan struct{}),
	}
	m.mu.Lock()
	previous := m.tenures[id]
	m.tenures[id] = t
	m.mu.Unlock()
	if previous != nil {
		previous.cancel()
	}
	m.logger.WithFields(logrus.Fields{"partition": id, "epoch": epoch}).Info("Partition acquired.")
	go func() {
		defer close(t.stopped)
		t.partition.Run(ctx)
	}()
}

// Lost stops a partition whose lease has ended. It does not block.
func (m *Manager) Lost(id model.PartitionID, epoch model.Epoch) {
	m.mu.Lock()
	t := m.tenures[id]
	if t == nil || t.epoch != epoch {
		m.mu.Unlock()
		return
	}
	delete(m.tenures, id)
	m.mu.Unlock()
	t.cancel()
	m.logger.WithFields(logrus.Fields{"partition": id, "epoch": epoch}).Info("Partition lost.")
}

// Drain lets a partition finish what is in flight before it is handed over.
func (m *Manager) Drain(ctx context.Context, id model.PartitionID, epoch model.Epoch) {
	m.mu.RLock()
	t := m.tenures[id]
	m.mu.RUnlock()
	if t == nil || t.epoch != epoch {
		return
	}
	t.partition.Drain(ctx)
}

// Stop ends all partitions and waits for them or the context.
func (m *Manager) Stop(ctx context.Context) {
	m.mu.Lock()
	tenures := m.tenures
	m.tenures = map[model.PartitionID]*tenure{}
	m.mu.Unlock()
	for _, t := range tenures {
		t.cancel()
	}
	for _, t := range tenures {
		select {
		case <-t.stopped:
		case <-ctx.Done():
			return
		}
	}
}

// Held returns the running partition of an id.
func (m *Manager) Running(id model.PartitionID) (Partition, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	t := m.tenures[id]
	if t == nil {
		return nil, false
	}
	return t.partition, true
}

// Each calls f for every running partition.
func (m *Manager) Each(f func(model.PartitionID, Partition)) {
	m.mu.RLock()
	partitions := make(map[model.PartitionID]Partition, len(m.tenures))
	for id, t := range m.tenures {
		partitions[id] = t.partition
	}
	m.mu.RUnlock()
	for id, partition := range partitions {
		f(id, partition)
	}
}

// Summaries returns the reports of all running partitions.
func (m *Manager) Summaries() []*peerpb.PartitionSummary {
	var reports []*peerpb.PartitionSummary
	m.Each(func(_ model.PartitionID, partition Partition) {
		if summary := partition.Summary(); summary != nil {
			reports = append(reports, summary)
		}
	})
	return reports
}

// Demands returns what the teams held here could run.
func (m *Manager) Demands() []*peerpb.TeamDemand {
	var demands []*peerpb.TeamDemand
	m.Each(func(_ model.PartitionID, partition Partition) {
		owner, ok := partition.(Demander)
		if !ok {
			return
		}
		if demand := owner.Demand(); demand != nil {
			demands = append(demands, demand)
		}
	})
	return demands
}

// Serve passes a call to the partition that it names. Calls for partitions
// that this member does not hold are refused as NOT_OWNER.
func (m *Manager) Serve(ctx context.Context, request *peerpb.Request) *peerpb.Response {
	id := PartitionOf(request)
	partition, ok := m.Running(id)
	if !ok {
		detail := "partition " + string(id) + " is not held here"
		return Refusal(request, convert.NewRefusal(peerpb.Refusal_NOT_OWNER, detail))
	}
	return partition.Serve(ctx, request)
}
