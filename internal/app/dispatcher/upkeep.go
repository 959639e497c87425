package dispatcher

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/balsamhitch/balsamhitch/internal/app/replica"
	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/core/policy"
	"github.com/balsamhitch/balsamhitch/internal/core/upkeep"
	"github.com/balsamhitch/balsamhitch/internal/port"
)

const (
	// upkeepInterval is how often the owner looks at its waves.
	upkeepInterval = 500 * time.Millisecond
	machineTime    = time.Second // of one call
	// listLag is how late the platform's list may show a machine's upkeep.
	listLag = 2 * time.Second
)

// wave is the owner's view of one wave of upkeep.
type wave struct {
	progress *upkeep.Progress
	// ending holds the workers that an order may have ended, by machine.
	ending    map[string]model.VMID
	reported  bool // operators know that it is under way
	completed bool // operators know that it is completed
}

// upkeepLoop carries out the waves that operators ask for.
func (t *tenure) upkeepLoop(ctx context.Context) {
	waves := map[string]*wave{}
	fencedUntil := time.Duration(0)
	for sleep(ctx, upkeepInterval) == nil {
		snapshot := t.Policy.Get()
		if snapshot == nil || !t.heard(startAge) || t.Clock.Now() < fencedUntil {
			continue
		}
		var closing []model.VMID
		open := t.openWaves(snapshot.Waves, waves)
		if len(open) == 0 && len(waves) == 0 {
			continue
		}
		if len(open) > 0 {
			machines, err := t.listMachines(ctx)
			if err != nil {
				t.Logger.WithError(err).Info("machines were not listed, the waves wait")
				continue
			}
			for _, asked := range open {
				ids, fenced := t.advance(ctx, asked, waves[asked.Name], machines)
				closing = append(closing, ids...)
				if fenced {
					fencedUntil = t.Clock.Now() + t.Lease
				}
			}
		}
		t.mu.Lock()
		t.engine.DrainWorkers(closing)
		t.mu.Unlock()
		t.wake()
	}
}

// openWaves returns the waves that are not completed, and forgets those that
// operators took back. What earlier owners have begun is on the log.
func (t *tenure) openWaves(asked []policy.Wave, waves map[string]*wave) []policy.Wave {
	named := map[string]bool{}
	var open []policy.Wave
	for _, w := range asked {
		named[w.Name] = true
		if waves[w.Name] == nil {
			waves[w.Name] = &wave{progress: upkeep.NewProgress(t.Clock.Now()), ending: map[string]model.VMID{}}
			for _, machine := range t.Replica.UpkeepMachines(w.Name) {
				waves[w.Name].progress.Started[machine] = true
			}
		}
		if !waves[w.Name].completed {
			open = append(open, w)
		}
	}
	for name := range waves {
		if !named[name] {
			delete(waves, name)
		}
	}
	return open
}

func (t *tenure) listMachines(ctx context.Context) (map[string]upkeep.Machine, error) {
	callCtx, cancel := context.WithTimeout(ctx, machineTime)
	defer cancel()
	list, err := t.Machines.List(callCtx)
	if err != nil {
		return nil, err
	}
	machines := make(map[string]upkeep.Machine, len(list))
	for _, machine := range list {
		machines[machine.ID] = machine
	}
	return machines, nil
}

// advance takes the next step of a wave. It returns the workers that are to
// take no new work, and whether a newer holder was met.
func (t *tenure) advance(ctx context.Context, asked policy.Wave, w *wave, machines map[string]upkeep.Machine) ([]model.VMID, bool) {
	t.noteEnded(w, machines)
	load := func(id model.VMID) upkeep.Load {
		t.mu.Lock()
		defer t.mu.Unlock()
		tasks, sheltered := t.engine.Load(id)
		return upkeep.Load{Tasks: tasks, Protected: sheltered}
	}
	plan := upkeep.Decide(asked, machines, load, w.progress, t.UpkeepDuration+listLag, t.Clock.Now())
	fenced := false
	for _, id := range plan.Start {
		if t.orderUpkeep(ctx, asked, w, machines[id]) {
			fenced = true
			break
		}
	}
	if plan.Completed || !w.reported {
		t.reportWave(ctx, asked, w, plan.Completed)
	}
	return plan.Drain, fenced
}

// noteEnded takes the list's word that a machine is in upkeep: the life of its
// worker that was ordered down has ended. The answer to the order alone does
// not tell, since it is the same for an upkeep that was done before.
func (t *tenure) noteEnded(w *wave, machines map[string]upkeep.Machine) {
	for id, worker := range w.ending {
		if machines[id].State != upkeep.InUpkeep {
			continue
		}
		delete(w.ending, id)
		t.mu.Lock()
		t.engine.ExpireRuns(worker)
		t.mu.Unlock()
		t.wake()
	}
}

func (t *tenure) reportWave(ctx context.Context, asked policy.Wave, w *wave, completed bool) {
	callCtx, cancel := context.WithTimeout(ctx, machineTime)
	defer cancel()
	if err := t.Machines.ReportWave(callCtx, asked, completed); err != nil {
		t.Logger.WithError(err).WithField("wave", asked.Name).Info("state of the wave was not reported, trying again")
		return
	}
	w.reported = true
	w.completed = completed
	t.Logger.WithFields(logrus.Fields{"wave": asked.Name, "completed": completed}).Info("state of the wave reported")
}

// orderUpkeep begins the upkeep of one machine. It reports whether a newer
// holder was met.
func (t *tenure) orderUpkeep(ctx context.Context, asked policy.Wave, w *wave, machine upkeep.Machine) bool {
	if !t.heard(startAge) {
		return false
	}
	w.progress.Orders[machine.ID] = upkeep.Order{SentAt: t.Clock.Now(), Worker: machine.Worker}
	w.ending[machine.ID] = machine.Worker
	callCtx, cancel := context.WithTimeout(ctx, machineTime)
	err := t.Machines.StartUpkeep(callCtx, machine.ID, asked.Number, t.Node, t.epoch)
	cancel()
	countOrder("upkeep", err)
	logger := t.Logger.WithFields(logrus.Fields{"wave": asked.Name, "machine": machine.ID, "worker": machine.Worker, "epoch": t.epoch})
	var refused *port.MachineRejectedError
	switch {
	case err == nil:
		w.progress.Started[machine.ID] = true
		logger.Info("upkeep begins")
		t.noteBegun(asked.Name, machine.ID)
	case errors.As(err, &refused):
		delete(w.progress.Orders, machine.ID)
		delete(w.ending, machine.ID)
		logger.WithError(err).Info("upkeep refused")
		return refused.Fenced
	default:
		logger.WithError(err).Warn("upkeep has an unknown outcome")
	}
	return false
}

// noteBegun puts a begun upkeep on the log with the next batch, for the next
// owner. Without it that owner would order it again, to no effect.
func (t *tenure) noteBegun(wave, machine string) {
	record, err := replica.UpkeepRecord(wave, machine)
	if err != nil {
		t.Logger.WithError(err).Warn("upkeep can't be recorded")
		return
	}
	t.addWish(&wish{records: []port.KeyedRecord{record}, done: make(chan error, 1)})
}
