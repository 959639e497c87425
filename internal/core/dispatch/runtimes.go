package dispatch

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// The load that this file answers: callers declare run times that are off by up to a
// factor of several, so that an order by slack and a lateness by declared times start the
// wrong steps first. What the steps of a queue took says more than a poor declaration.
const (
	// runTimeSamples is the number of steps, the latest ones, that a queue's model rests on.
	runTimeSamples = 256
	// minRunTimeSamples is the number of steps from which declared times are corrected.
	minRunTimeSamples = 16
	// refitSamples is the number of new samples after which a model is fitted again.
	refitSamples = 8
	// logRefits is the number of fits per log line.
	logRefits = 16
	// peerSpread is the standard deviation assumed for the logarithms of the run times of
	// one step's tasks.
	peerSpread = 0.3
	// minSpread keeps the weights of a model finite where all samples are alike.
	minSpread = 0.05
	// maxEndedRuns is the number of run times that a step keeps.
	maxEndedRuns = 64
)

// runTimeModel is what the steps of one queue have taught about its run times. All values
// are natural logarithms of seconds. The fitted values are a median and a spread that is
// the standard deviation of a normal distribution with the same quartiles, so that a few
// very long steps do not move them.
type runTimeModel struct {
	samples  []runTimeSample // a ring
	next     int
	unfitted int
	fits     int // also the version of the fitted values

	usual, usualSpread float64 // of the measured run times
	bias, biasSpread   float64 // of measured less declared ones
}

// runTimeSample is one step: the declared run time and the median of its tasks' ones.
type runTimeSample struct{ declared, measured float64 }

func (m *runTimeModel) add(sample runTimeSample) {
	if len(m.samples) < runTimeSamples {
		m.samples = append(m.samples, sample)
	} else {
		m.samples[m.next] = sample
		m.next = (m.next + 1) % runTimeSamples
	}
	if m.unfitted++; len(m.samples) >= minRunTimeSamples && m.unfitted >= refitSamples {
		m.fit()
	}
}

func (m *runTimeModel) fit() {
	m.unfitted = 0
	m.fits++
	measured, errors := make([]float64, len(m.samples)), make([]float64, len(m.samples))
	for i, sample := range m.samples {
		measured[i], errors[i] = sample.measured, sample.measured-sample.declared
	}
	m.usual, m.usualSpread = location(measured)
	m.bias, m.biasSpread = location(errors)
}

// quartileDistance is the distance of the quartiles of a normal distribution in standard
// deviations.
const quartileDistance = 1.349

// location returns the median and the spread of the values, which it sorts.
func location(values []float64) (median, spread float64) {
	slices.Sort(values)
	n := len(values)
	return values[n/2], max(minSpread, (values[3*n/4]-values[n/4])/quartileDistance)
}

// expect returns the expected logarithm of the run time and the variance of the error. It
// weighs the declared time against what the queue's steps take by the inverse of the
// variance that was seen of each.
func (m *runTimeModel) expect(declared float64) (expected, variance float64) {
	usual, bias := m.usualSpread*m.usualSpread, m.biasSpread*m.biasSpread
	return ((declared+m.bias)*usual + m.usual*bias) / (usual + bias), usual * bias / (usual + bias)
}

// modelOf returns the model of the job's queue, and adds it if needed.
func (e *Engine) modelOf(j *job) *runTimeModel {
	name := j.spec.Queue.Name
	m := e.runTimes[name]
	if m == nil {
		m = &runTimeModel{}
		e.runTimes[name] = m
	}
	return m
}

// runTime returns the expected run time of one task of the step: the declared one, or with
// LearnRunTimes what the queue's steps and the step's own tasks have shown of it.
func (e *Engine) runTime(s *step) time.Duration {
	declared := s.spec.DeclaredRunTime
	if !e.settings.Features.LearnRunTimes || !s.measurable() {
		return declared
	}
	median, ended := s.medianRunTime()
	m := e.modelOf(s.occurrence.job)
	if m.fits == 0 || declared <= 0 {
		if ended == 0 {
			return declared
		}
		return seconds(median)
	}
	expected, variance := m.expect(math.Log(declared.Seconds()))
	if ended > 0 {
		weight := float64(ended) * variance / (float64(ended)*variance + peerSpread*peerSpread)
		expected += weight * (median - expected)
	}
	return seconds(expected)
}

func seconds(logarithm float64) time.Duration {
	return time.Duration(math.Exp(logarithm) * float64(time.Second))
}

// measurable reports whether the run times of the step's tasks say how much work they are:
// best-effort tasks depend on what others leave, and long-running ones do not end.
func (s *step) measurable() bool { return !s.spec.LongRunning && !s.spec.BestEffortCPU }

// medianRunTime returns the median of the logarithms of the run times of the step's ended
// tasks, and their number.
func (s *step) medianRunTime() (median float64, ended int) {
	if ended = len(s.ranFor); ended == 0 {
		return 0, 0
	}
	return s.ranFor[ended/2], ended
}

// learnRunTime learns from a run that is done. clock is the reading of the worker's clock in
// its report, gap the time since the previous one: an end that may have waited for its
// report tells no run time.
func (e *Engine) learnRunTime(t *task, clock, gap time.Duration) {
	s := t.step
	resumed := s.spec.Checkpoints && t.run > 1
	if !s.measurable() || resumed || t.adopted || t.workedFrom == 0 || clock <= t.workedFrom ||
		gap > e.settings.MaxReportAge || s.farFromData(t.worker) || len(s.ranFor) >= maxEndedRuns {
		return
	}
	took := math.Log((clock - t.workedFrom).Seconds())
	i, _ := slices.BinarySearch(s.ranFor, took)
	s.ranFor = slices.Insert(s.ranFor, i, took)
	ended := len(s.ranFor)
	if ended == sampledEnds(s) && s.spec.DeclaredRunTime > 0 {
		m := e.modelOf(s.occurrence.job)
		median, _ := s.medianRunTime()
		m.add(runTimeSample{math.Log(s.spec.DeclaredRunTime.Seconds()), median})
		if m.unfitted == 0 && m.fits%logRefits == 1 {
			e.jobEvent("run_times_learned", s.occurrence.job, fmt.Sprintf("steps: %d, median: %v, spread: %.2f, measured/declared: %.2f, spread: %.2f",
				len(m.samples), seconds(m.usual).Round(time.Millisecond), m.usualSpread, math.Exp(m.bias), m.biasSpread))
		}
	}
	if ended&(ended-1) == 0 { // a power of two: later ends change the median ever less
		e.estimateTimes(s.occurrence)
	}
}

// sampledEnds returns the number of ends after which the step becomes a sample of its queue:
// half of the tasks, whose median no longer depends on the quickest ones alone. One end of a
// gang ends all of it.
func sampledEnds(s *step) int {
	if s.gang != nil {
		return 1
	}
	return min((len(s.tasks)+1)/2, maxEndedRuns)
}

// farFromData reports whether the step's tasks run slower on the worker than near their data.
func (s *step) farFromData(w *worker) bool {
	return s.spec.SingleRack || s.spec.PreferRack != "" && !slices.Contains(w.labels, s.spec.PreferRack)
}

// estimateTimes sets the deadline of the occurrence and the remaining times of its steps from
// the expected run times.
func (e *Engine) estimateTimes(o *occurrence) {
	if e.settings.Features.LearnRunTimes {
		o.estimatedWith = e.modelOf(o.job).fits
	}
	remainingTimes := o.job.spec.remainingTimesBy(func(i int) time.Duration { return e.runTime(o.steps[i]) })
	queue := e.queue(o.job)
	o.deadline = o.due.Add(time.Duration(queue.Slowdown*float64(longest(remainingTimes))) + queue.BaseLatency)
	for i, s := range o.steps {
		s.remainingTime = remainingTimes[i]
	}
}

// refreshEstimates estimates the times of the ready steps again whose queue has been fitted
// since.
func (e *Engine) refreshEstimates() {
	if !e.settings.Features.LearnRunTimes {
		return
	}
	for s := range e.ready {
		if s.occurrence.estimatedWith != e.modelOf(s.occurrence.job).fits {
			e.estimateTimes(s.occurrence)
		}
	}
}
