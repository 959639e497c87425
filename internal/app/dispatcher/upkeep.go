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
	// upkeepInterval is the time between two checks of the open waves.
	upkeepInterval = 500 * time.Millisecond
	machineTimeout = time.Second // of one call
	// listLag is how long after a change of a machine's state the platform's list may
	// still show the earlier state.
	listLag = 2 * time.Second
)

// waveState is the owner's state of one wave of upkeep.
type waveState struct {
	progress *upkeep.Progress
	// orderedWorkers holds the workers that an upkeep order may have ended, by
	// machine.
	orderedWorkers map[string]model.VMID
	reported       bool // reported to operators as under way
	completed      bool // reported to operators as completed
}

// upkeepLoop runs the waves that operators have requested.
func (s *ownerSession) upkeepLoop(ctx context.Context) {
	waves := map[string]*waveState{}
	fencedUntil := time.Duration(0)
	for sleep(ctx, upkeepInterval) == nil {
		snapshot := s.Policy.Get()
		if snapshot == nil || !s.confirmedWithin(maxUnconfirmedOrder) || s.Clock.Now() < fencedUntil {
			continue
		}
		var draining []model.VMID
		open := s.openWaves(snapshot.Waves, waves)
		if len(open) == 0 && len(waves) == 0 {
			continue
		}
		if len(open) > 0 {
			machines, err := s.listMachines(ctx)
			if err != nil {
				s.Logger.WithError(err).Info("listing machines failed; upkeep waves wait")
				continue
			}
			for _, requested := range open {
				ids, fenced := s.advanceWave(ctx, requested, waves[requested.Name], machines)
				draining = append(draining, ids...)
				if fenced {
					fencedUntil = s.Clock.Now() + s.Lease
				}
			}
		}
		s.mu.Lock()
		s.engine.DrainWorkers(draining)
		s.mu.Unlock()
		s.wake()
	}
}

// openWaves returns the waves that are not completed, and drops the state of
// those that operators have withdrawn. The upkeeps that earlier owners have begun
// are read from the replica.
func (s *ownerSession) openWaves(requested []policy.Wave, waves map[string]*waveState) []policy.Wave {
	named := map[string]bool{}
	var open []policy.Wave
	for _, w := range requested {
		named[w.Name] = true
		if waves[w.Name] == nil {
			waves[w.Name] = &waveState{progress: upkeep.NewProgress(s.Clock.Now()), orderedWorkers: map[string]model.VMID{}}
			for _, machine := range s.Replica.UpkeepMachines(w.Name) {
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

func (s *ownerSession) listMachines(ctx context.Context) (map[string]upkeep.Machine, error) {
	callCtx, cancel := context.WithTimeout(ctx, machineTimeout)
	defer cancel()
	list, err := s.Machines.List(callCtx)
	if err != nil {
		return nil, err
	}
	machines := make(map[string]upkeep.Machine, len(list))
	for _, machine := range list {
		machines[machine.ID] = machine
	}
	return machines, nil
}

// advanceWave plans and orders the next step of a wave. It returns the workers
// that must not get new tasks, and whether an order was rejected because of a
// newer owner.
func (s *ownerSession) advanceWave(ctx context.Context, requested policy.Wave, w *waveState, machines map[string]upkeep.Machine) ([]model.VMID, bool) {
	s.expireStoppedWorkers(w, machines)
	load := func(id model.VMID) upkeep.Load {
		s.mu.Lock()
		defer s.mu.Unlock()
		runs, protected := s.engine.RunCounts(id)
		return upkeep.Load{Runs: runs, Protected: protected}
	}
	plan := upkeep.Decide(requested, machines, load, w.progress, s.UpkeepDuration+listLag, s.Clock.Now())
	fenced := false
	for _, id := range plan.Start {
		if s.orderUpkeep(ctx, requested, w, machines[id]) {
			fenced = true
			break
		}
	}
	if plan.Completed || !w.reported {
		s.reportWave(ctx, requested, w, plan.Completed)
	}
	return plan.Drain, fenced
}

// expireStoppedWorkers ends the runs of workers whose machine the platform lists
// as in upkeep: the worker that was on the machine when the upkeep was ordered has
// stopped. The answer to the order does not prove this, since it is the same if the
// upkeep has taken place earlier.
func (s *ownerSession) expireStoppedWorkers(w *waveState, machines map[string]upkeep.Machine) {
	for id, worker := range w.orderedWorkers {
		if machines[id].State != upkeep.InUpkeep {
			continue
		}
		delete(w.orderedWorkers, id)
		s.mu.Lock()
		s.engine.EndRunsOfStopped(worker)
		s.mu.Unlock()
		s.wake()
	}
}

// reportWave reports the state of a wave to operators. After an error the next
// round retries it.
func (s *ownerSession) reportWave(ctx context.Context, requested policy.Wave, w *waveState, completed bool) {
	callCtx, cancel := context.WithTimeout(ctx, machineTimeout)
	defer cancel()
	if err := s.Machines.ReportWave(callCtx, requested, completed); err != nil {
		s.Logger.WithError(err).WithField("wave", requested.Name).Info("reporting the state of the wave failed; retrying")
		return
	}
	w.reported = true
	w.completed = completed
	s.Logger.WithFields(logrus.Fields{"wave": requested.Name, "completed": completed}).Info("state of the wave reported")
}

// orderUpkeep begins the upkeep of one machine. It reports whether the order was
// rejected because of a newer owner.
func (s *ownerSession) orderUpkeep(ctx context.Context, requested policy.Wave, w *waveState, machine upkeep.Machine) bool {
	if !s.confirmedWithin(maxUnconfirmedOrder) {
		return false
	}
	w.progress.Orders[machine.ID] = upkeep.Order{SentAt: s.Clock.Now(), Worker: machine.Worker}
	w.orderedWorkers[machine.ID] = machine.Worker
	callCtx, cancel := context.WithTimeout(ctx, machineTimeout)
	err := s.Machines.StartUpkeep(callCtx, machine.ID, requested.Number, s.Node, s.epoch)
	cancel()
	countOrder("upkeep", err)
	logger := s.Logger.WithFields(logrus.Fields{"wave": requested.Name, "machine": machine.ID, "worker": machine.Worker, "epoch": s.epoch})
	var rejected *port.MachineRejectedError
	switch {
	case err == nil:
		w.progress.Started[machine.ID] = true
		logger.Info("upkeep started")
		s.recordStartedUpkeep(requested.Name, machine.ID)
	case errors.As(err, &rejected):
		delete(w.progress.Orders, machine.ID)
		delete(w.orderedWorkers, machine.ID)
		logger.WithError(err).Info("upkeep order was rejected; ordering it again later")
		return rejected.Fenced
	default:
		logger.WithError(err).Warn("upkeep order has an unknown outcome; repeating it unless the machine list shows the upkeep")
	}
	return false
}

// recordStartedUpkeep adds the record of a started upkeep to the next batch. The
// next owner reads it; without it, that owner would order the upkeep again, to no
// effect.
func (s *ownerSession) recordStartedUpkeep(wave, machine string) {
	record, err := replica.UpkeepRecord(wave, machine)
	if err != nil {
		s.Logger.WithError(err).Warn("encoding the upkeep record failed; the next owner will order the upkeep again")
		return
	}
	s.enqueue(&write{records: []port.KeyedRecord{record}, done: make(chan error, 1)})
}
