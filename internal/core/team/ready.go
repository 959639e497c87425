package team

import "time"

// offerConditions determines which jobs may be offered.
type offerConditions struct {
	now        time.Duration
	freedAt    time.Duration // when capacity was last freed
	recovering bool
}

// readyQueue holds the jobs with waiting tasks, urgent ones first and otherwise
// in order of acceptance. Jobs without waiting tasks are removed during scans,
// so cancelling many jobs at once takes no extra work.
type readyQueue struct {
	urgent []*job
	normal []*job
}

// push adds an open job with waiting tasks unless it is queued.
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

// offerable returns up to limit jobs that may be offered now, in order. They
// stay queued.
func (q *readyQueue) offerable(limit int, c offerConditions) []*job {
	jobs := make([]*job, 0, limit)
	q.urgent = q.scan(q.urgent, &jobs, limit, c)
	q.normal = q.scan(q.normal, &jobs, limit, c)
	return jobs
}

// scan appends up to limit offerable jobs to found and returns the list without
// jobs that have nothing left to offer.
func (q *readyQueue) scan(list []*job, found *[]*job, limit int, c offerConditions) []*job {
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
		if j.offerable(c) {
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
