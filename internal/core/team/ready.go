package team

import "time"

// gate tells which jobs may be offered.
type gate struct {
	now        time.Duration
	roomAt     time.Duration // when room last came up
	recovering bool
}

// readyQueue orders jobs with waiting tasks: urgent ones first, then by
// acceptance. Jobs without waiting tasks are dropped when they are met, so a
// wave of cancellations costs nothing by itself.
type readyQueue struct {
	urgent []*job
	normal []*job
}

// push adds a job that is not queued.
func (q *readyQueue) push(j *job) {
	if j.queued || !j.open() || len(j.waiting) == 0 {
		return
	}
	j.queued = true
	if j.Urgent {
		q.urgent = append(q.urgent, j)
		return
	}
	q.normal = append(q.normal, j)
}

// take returns up to limit jobs that may be offered now, in order.
func (q *readyQueue) take(limit int, g gate) []*job {
	jobs := make([]*job, 0, limit)
	q.urgent = q.scan(q.urgent, &jobs, limit, g)
	q.normal = q.scan(q.normal, &jobs, limit, g)
	return jobs
}

// scan appends offerable jobs and returns the list without finished ones.
func (q *readyQueue) scan(list []*job, found *[]*job, limit int, g gate) []*job {
	dropped := false
	for i, j := range list {
		if len(*found) >= limit {
			break
		}
		if !j.open() || j.cancelled || len(j.waiting) == 0 {
			j.queued = false
			list[i] = nil
			dropped = true
			continue
		}
		if j.offerable(g) {
			*found = append(*found, j)
		}
	}
	if !dropped {
		return list
	}
	kept := list[:0]
	for _, j := range list {
		if j != nil {
			kept = append(kept, j)
		}
	}
	return kept
}
