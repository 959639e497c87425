package sched

import (
	"context"
	"time"

	"github.com/balsamhitch/balsamhitch/internal/app/host"
	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/pb/convert"
	"github.com/balsamhitch/balsamhitch/internal/pb/peerpb"
)

// systemPartition writes the checkpoints of the journal and the configuration.
type systemPartition struct {
	id    model.PartitionID
	epoch model.Epoch
	env   host.Env
	sched *Sched
}

var _ host.Partition = (*systemPartition)(nil)

func newSystemPartition(id model.PartitionID, epoch model.Epoch, env host.Env, s *Sched) *systemPartition {
	return &systemPartition{id: id, epoch: epoch, env: env, sched: s}
}

// Run writes checkpoints when they are due, until the context is done. Concurrent
// checkpoints of two processes are harmless: each holds the state at the log
// offset that it names.
func (p *systemPartition) Run(ctx context.Context) {
	go p.sched.config.RunCheckpoints(ctx)
	ticker := time.NewTicker(checkpointCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			p.checkpoint(ctx)
		}
	}
}

func (p *systemPartition) checkpoint(ctx context.Context) {
	if !p.env.MayAct(p.id, p.epoch) {
		return
	}
	if err := p.sched.journal.Checkpoint(ctx, journalCheckpointRecords, journalCheckpointAge); err != nil {
		p.sched.logger.WithError(err).Warn("journal checkpoint was not confirmed; retrying at the next check")
	}
}

// Drain implements host.Partition; there is nothing to wait for.
func (p *systemPartition) Drain(context.Context) {}

// Summary returns nil, because the partition has no capacity.
func (p *systemPartition) Summary() *peerpb.PartitionSummary {
	return nil
}

// Serve refuses every call.
func (p *systemPartition) Serve(_ context.Context, request *peerpb.Request) *peerpb.Response {
	return host.Refusal(request, convert.NewRefusal(peerpb.Refusal_INVALID, "the system partition answers no calls"))
}
