// Package backlog measures how late an owner gets its workers' answers, and decides how
// much less it asks of them then.
package backlog

import (
	"slices"
	"time"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

const (
	// sampleAge is how long a worker's answer counts.
	sampleAge = 2 * time.Second
	// minWorkers is the number of workers below which they prove nothing about the owner.
	minWorkers = 4
	// refresh is how long a result serves.
	refresh = 50 * time.Millisecond
)

// Meter keeps the lateness of each worker's latest answer. If three quarters of the workers
// answer late, the cause is the owner's link or processor, not theirs. It is not safe for
// concurrent use. The zero value has observed nothing.
type Meter struct {
	samples map[model.VMID]sample
	late    time.Duration
	due     time.Duration // clock reading at which late is worked out again
}

type sample struct {
	late, at time.Duration
}

// Observe records that a worker's answer came late by the given time, at the clock reading
// now. A call without an answer counts with the time that it waited for one.
func (m *Meter) Observe(worker model.VMID, late, now time.Duration) {
	if m.samples == nil {
		m.samples = map[model.VMID]sample{}
	}
	m.samples[worker] = sample{late, now}
}

// Late returns the lower quartile over the workers of the lateness of their latest answers.
func (m *Meter) Late(now time.Duration) time.Duration {
	if now < m.due {
		return m.late
	}
	var late []time.Duration
	for worker, s := range m.samples {
		if now-s.at > sampleAge {
			delete(m.samples, worker)
			continue
		}
		late = append(late, s.late)
	}
	m.late, m.due = 0, now+refresh
	if len(late) >= minWorkers {
		slices.Sort(late)
		m.late = late[len(late)/4]
	}
	return m.late
}

// Pace is what an owner asks of its workers. Its fields are times.
type Pace struct {
	PollWait    time.Duration // that a worker may wait for the end of a run before it answers
	PollMargin  time.Duration // that its answer may take beyond that, or if it does not wait
	PollPause   time.Duration // after an answer with ends
	RetryPause  time.Duration // after no answer of a worker whose leases are not renewed
	StartAnswer time.Duration // that an answer to a start may take
	StopAnswer  time.Duration // that an answer to a stop may take
}

const (
	// Tolerated is the lateness up to which an owner is not behind.
	Tolerated = 100 * time.Millisecond
	// maxExtra is the longest additional wait. With it, PollWait keeps 0.4 of a second.
	maxExtra = 600 * time.Millisecond
	// maxPollPause keeps the time from an end to the worker's next poll short beside the
	// time after which a worker counts as unresponsive.
	maxPollPause = 200 * time.Millisecond
)

// Slow returns the pace of an owner that gets answers late by the given time. What is sent
// again while the first answer is under way takes from the same link: answers are awaited
// longer, ends are collected in fewer polls, and workers without leases are polled less.
// PollWait and PollMargin together stay the same, so that a lost answer does not delay the
// next renewal of leases.
func (p Pace) Slow(late time.Duration) Pace {
	if late <= Tolerated {
		return p
	}
	extra := min(2*late, maxExtra, p.PollWait)
	p.PollWait -= extra
	p.PollMargin += extra
	p.PollPause = max(p.PollPause, min(late, maxPollPause))
	p.RetryPause += extra
	p.StartAnswer += extra
	p.StopAnswer += extra
	return p
}
