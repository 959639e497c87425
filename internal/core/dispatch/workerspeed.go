package dispatch

import (
	"fmt"
	"math"
	"time"
)

// The load that this file answers: workers that report to be well and are not. Some fail
// all that they start, at once, and so always have room for the next task; some work at a
// fraction of their speed, or not at all. They are known by the ends of the runs and by their
// progress against the peers of the same step, get few places while they are in doubt, and
// become trusted again by a run that ends in time.
const (
	// usualFailures is the share of failed runs that a cell is assumed to have before it
	// has seen its own; failureWeight is the weight of one run in that share.
	usualFailures = 0.02
	failureWeight = 1.0 / 512
	// chanceOfFailures is the probability of unproven failures in a row on a sound worker
	// below which the worker is in doubt. minDoubtFailures is needed in any case.
	chanceOfFailures = 0.001
	minDoubtFailures = 2
	maxDoubtFailures = 5
	// firstPause is how long a worker in doubt gets no tasks. Each failure of a run that
	// was tried there afterwards doubles it, up to maxPause.
	firstPause = time.Second
	maxPause   = 2 * time.Second
	// doubtTime is how long after the pause, or after the last late run was seen, the
	// worker gets few places. A worker without a further bad sign is trusted again then.
	doubtTime      = 2 * time.Second
	lateDoubtTime  = time.Second
	forgetFailures = 12 * time.Second
	// wearyTime is how long after a failure the last attempt of a task avoids the worker.
	wearyTime = 2 * time.Second
	// maxProbes is the number of runs that may be tried at a time on a worker in doubt.
	maxProbes = 1
	// doubtShare is the fraction of the listed workers that may get few places at a time.
	// Beyond it the cause is not with the workers, and all are used.
	doubtShare = 0.25
	// A run is late after lateFactor times the median of its peers and lateMargin, or, if
	// too few of them have ended, after lateSpreads standard deviations of its estimate.
	lateFactor  = 2.5
	lateMargin  = 300 * time.Millisecond
	lateSpreads = 3
	// minPeers is the number of ended peers from which they are the measure.
	minPeers = 3
	// lateRunsOfSlow is the number of late runs at a time from which a worker is slow.
	lateRunsOfSlow = 2
)

// workerTrust is what the engine knows of a worker by its runs. The zero value is that of a
// worker that is trusted.
type workerTrust struct {
	failures   int           // unproven: no run that started later is done
	failedFrom time.Duration // latest start of their runs on the worker's clock
	doneFrom   time.Duration // latest start of a run that is done, on the same clock
	lastSign   time.Duration // time of the last failure
	round      int           // pauses so far
	probesFrom time.Duration // reading of the worker's clock after which a run's start counts as one of this round
	pauseUntil time.Duration
	doubtUntil time.Duration
	slowUntil  time.Duration
	probes     int // active runs placed in doubt
}

// forget makes the worker trusted again, as after its restart. Its active runs stay counted.
func (w *workerTrust) forget() { *w = workerTrust{probes: w.probes} }

func (w *workerTrust) slow(now time.Duration) bool { return now < w.slowUntil }

// doubted reports whether the worker is to get few places.
func (w *workerTrust) doubted(now time.Duration) bool {
	return now < w.doubtUntil || w.slow(now)
}

// limited reports whether the worker gets no task now.
func (e *Engine) limited(w *worker, now time.Duration) bool {
	trust := &w.trust
	if !trust.doubted(now) || e.doubtIgnored {
		return false
	}
	if now < trust.pauseUntil {
		return true
	}
	return trust.probes >= maxProbes
}

// avoids reports whether the task is not to be tried on the worker now: another failure would
// cost its job.
func (e *Engine) avoids(t *task, w *worker, now time.Duration) bool {
	limit := e.queue(t.step.occurrence.job).MaxAttempts
	return limit > 0 && t.failures > 0 && t.failures >= limit-1 && w.trust.failures > 0 && now < w.trust.lastSign+wearyTime && !e.doubtIgnored
}

// The weights of a placement on a worker in doubt, beside failurePenalty for each unproven
// failure.
const (
	doubtPenalty       = 2.0 // any task
	urgentDoubtPenalty = 3.0 // more for the most urgent tasks, for gangs and for tasks that have failed
)

// penalty returns what placing the task on the worker takes off the score.
func (w *workerTrust) penalty(t *task, topPriority bool, now time.Duration) float64 {
	if !w.doubted(now) {
		return failurePenalty * float64(w.failures)
	}
	if topPriority || t.failures > 0 || t.step.gang != nil {
		return doubtPenalty + urgentDoubtPenalty
	}
	return doubtPenalty
}

// rateEnd judges the worker by the end of a run of it. clock is the reading of its clock in
// the report.
func (e *Engine) rateEnd(w *worker, kind EndKind, t *task, clock, now time.Duration) {
	trust := &w.trust
	switch kind {
	case EndDone:
		e.noteFailure(trust, false)
		trust.doneFrom = max(trust.doneFrom, t.workedFrom)
		if trust.failures > 0 && t.workedFrom > trust.failedFrom {
			if trust.round > 0 {
				e.event("worker_trusted", t, fmt.Sprintf("after %d failed runs and %d pauses", trust.failures, trust.round))
			}
			from := trust.doneFrom
			trust.forget()
			trust.doneFrom = from
			e.version++
		}
	case EndFailed:
		if t.failures > 0 || t.step.spec.LongRunning || trust.doneFrom >= t.workedFrom {
			// The task failed before, or a later run was done: the task is the more likely cause.
			return
		}
		e.noteFailure(trust, true)
		e.rateFailure(trust, t, clock, now)
	}
}

// noteFailure updates the cell's usual share of failed runs. Workers with unproven failures
// don't count, so that a few broken ones do not become the usual.
func (e *Engine) noteFailure(trust *workerTrust, failed bool) {
	if trust.failures > 0 {
		return
	}
	if failed {
		e.failureShare += failureWeight * (1 - e.failureShare)
	} else {
		e.failureShare -= failureWeight * e.failureShare
	}
}

func (e *Engine) rateFailure(trust *workerTrust, t *task, clock, now time.Duration) {
	if now > trust.lastSign+forgetFailures {
		trust.forget()
	}
	trust.failures++
	trust.failedFrom, trust.lastSign = max(trust.failedFrom, t.workedFrom), now
	if trust.failures < e.failuresToDoubt() {
		return
	}
	if trust.round > 0 && t.workedFrom <= trust.probesFrom {
		return // was started before the last pause
	}
	pause := min(firstPause<<min(trust.round, 8), maxPause)
	trust.round++
	trust.probesFrom = clock
	trust.pauseUntil = now + pause
	trust.doubtUntil = trust.pauseUntil + doubtTime
	e.event("worker_doubted", t, fmt.Sprintf("%d failed runs, usual share %.3f, paused for %v", trust.failures, e.failureShare, pause))
}

// failuresToDoubt returns the number of unproven failures from which a worker is in doubt.
func (e *Engine) failuresToDoubt() int {
	if e.failureShare <= 0 {
		return minDoubtFailures
	}
	needed := math.Ceil(math.Log(chanceOfFailures) / math.Log(min(e.failureShare, 0.9)))
	return int(min(max(needed, minDoubtFailures), maxDoubtFailures))
}

// lateAfter returns the time at work after which a run of the step's tasks is late, zero if
// nothing is known of it.
func (e *Engine) lateAfter(s *step) time.Duration {
	if !s.measurable() || s.farFromSomeData() {
		return 0
	}
	if median, ended := s.medianRunTime(); ended >= minPeers {
		return time.Duration(lateFactor*float64(seconds(median))) + lateMargin
	}
	m := e.modelOf(s.occurrence.job)
	if m.fits == 0 || s.spec.DeclaredRunTime <= 0 {
		return 0
	}
	expected, variance := m.expect(math.Log(s.spec.DeclaredRunTime.Seconds()))
	return max(time.Duration(lateFactor*float64(seconds(expected))), seconds(expected+lateSpreads*math.Sqrt(variance))) + lateMargin
}

// farFromSomeData reports whether the step's tasks run slower on some workers than on others.
func (s *step) farFromSomeData() bool { return s.spec.SingleRack || s.spec.PreferRack != "" }

// rateProgress judges the worker by the runs that it reports as active.
func (e *Engine) rateProgress(w *worker, now time.Duration) {
	late := 0
	var worst *task
	for _, t := range w.tasks {
		if t.phase != running || t.adopted || t.workedFrom == 0 {
			continue
		}
		if limit := e.lateAfter(t.step); limit > 0 && t.worked() > limit {
			late++
			if worst == nil || t.worked() > worst.worked() || t.worked() == worst.worked() && t.name().String() < worst.name().String() {
				worst = t
			}
		}
	}
	if late < lateRunsOfSlow {
		if !w.trust.slow(now) {
			w.trust.slowUntil = 0
		}
		return
	}
	if !w.trust.slow(now) {
		e.event("worker_slow", worst, fmt.Sprintf("%d late runs, this one at work for %v, late after %v", late, worst.worked(), e.lateAfter(worst.step)))
	}
	w.trust.slowUntil = now + lateDoubtTime
}

// countDoubted decides whether workers in doubt get few places, or there are too many of them.
func (e *Engine) countDoubted(now time.Duration) {
	if !e.settings.Features.LearnRunTimes {
		return
	}
	listed, doubted := 0, 0
	for _, w := range e.workers {
		if !w.listed {
			continue
		}
		listed++
		if w.trust.doubted(now) {
			doubted++
		}
	}
	e.doubtIgnored = doubted > int(doubtShare*float64(listed))
}
