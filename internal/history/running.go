package history

import (
	"fmt"
	"strings"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

// start applies the start of a task or quick request and checks everything
// that a start can break.
func (c *checker) start(e Event) {
	c.checkPlace(e)
	c.checkDomain(e)
	c.checkLeaving(e)
	c.startOnVM(e)
	c.startForTeam(e)
	c.call(e.Call).runs = append(c.call(e.Call).runs, e)
}

func (c *checker) startOnVM(e Event) {
	vm := c.vm(e.VM)
	vm.running = append(vm.running, e)
	vm.used = vm.used.Add(size(e))
	if vm.seen == nil {
		return
	}
	c.tested[NoOvercommit]++
	if !vm.used.Fits(vm.seen.Size) {
		c.report(NoOvercommit, fmt.Sprintf("%s runs %+v", e.VM, vm.used), append([]Event{*vm.seen}, vm.running...)...)
	}
}

// checkLeaving counts each start as a test while any VM is leaving, since the
// work could have gone there.
func (c *checker) checkLeaving(e Event) {
	for _, leaving := range c.leaving {
		if e.At.Sub(leaving.At) > c.options.Grace {
			c.tested[NoStartOnLeaving]++
			break
		}
	}
	leaving, ok := c.leaving[e.VM]
	if ok && e.At.Sub(leaving.At) > c.options.Grace {
		c.report(NoStartOnLeaving, fmt.Sprintf("%s got work %s after it was listed as leaving", e.VM, e.At.Sub(leaving.At)), leaving, e)
	}
}

func (c *checker) startForTeam(e Event) {
	team := c.team(e.Team)
	team.running = append(team.running, e)
	team.used = team.used.Add(size(e))
	if len(team.limits) == 0 {
		return
	}
	c.tested[UpperLimit]++
	limit := c.limitAt(team, e)
	if !team.used.Fits(limit) {
		c.report(UpperLimit, fmt.Sprintf("team %s runs %+v, limit %+v", e.Team, team.used, limit), append(append([]Event(nil), team.limits...), team.running...)...)
	}
}

// limitAt returns the largest limit that was in force within the grace.
func (c *checker) limitAt(team *teamState, e Event) model.Resources {
	limit := team.limits[len(team.limits)-1].Size
	for i := len(team.limits) - 1; i > 0; i-- {
		if e.At.Sub(team.limits[i].At) > c.options.Grace {
			break
		}
		limit = limit.Max(team.limits[i-1].Size)
	}
	return limit
}

// checkDomain counts each start as a test while any failure domain is out.
func (c *checker) checkDomain(e Event) {
	for _, out := range c.out {
		if e.At.Sub(out.At) > c.options.Grace {
			c.tested[NoStartInDomainOut]++
			break
		}
	}
	out, isOut := c.out[e.Domain]
	if isOut && e.At.Sub(out.At) > c.options.Grace {
		c.report(NoStartInDomainOut, fmt.Sprintf("a start in %s %s after it was taken out", e.Domain, e.At.Sub(out.At)), out, e)
	}
}

func (c *checker) checkPlace(e Event) {
	if e.Kind != TaskStart {
		return
	}
	c.tested[SinglePlacement]++
	work := c.workOf(e)
	if len(work.running) > 0 {
		c.report(SinglePlacement, "a task was started while it ran", append(append([]Event(nil), work.running...), e)...)
	}
	work.running = append(work.running, e)
	work.starts = append(work.starts, e)
}

func (c *checker) end(e Event) {
	vm := c.vm(e.VM)
	started, rest, ok := take(vm.running, e)
	if !ok {
		return
	}
	vm.running = rest
	vm.used = vm.used.Sub(size(started))
	team := c.team(started.Team)
	if _, others, found := take(team.running, e); found {
		team.running = others
		team.used = team.used.Sub(size(started))
	}
	if e.Kind != TaskEnd {
		return
	}
	work := c.workOf(started)
	_, work.running, _ = take(work.running, e)
	e.Call = started.Call
	c.call(started.Call).ends = append(c.call(started.Call).ends, e)
}

// workOf returns the state of a task. The caller's name of the job goes before
// its id, so that a job that was accepted twice counts as one.
func (c *checker) workOf(e Event) *workState {
	id := workID(e)
	if c.work[id] == nil {
		c.work[id] = &workState{}
	}
	return c.work[id]
}

func workID(e Event) string {
	if e.Call == "" {
		return string(e.Task)
	}
	index := string(e.Task)
	return e.Call + "/" + index[strings.LastIndex(index, "/")+1:]
}

// size is what the work takes of a VM and of its team's limit.
func size(e Event) model.Resources {
	if e.Kind == QuickStart {
		return model.Resources{Slots: 1}
	}
	return e.Size
}

// take removes the start that the end belongs to.
func take(running []Event, end Event) (Event, []Event, bool) {
	for i, e := range running {
		same := e.VM == end.VM && e.Task == end.Task && e.Request == end.Request && e.Attempt == end.Attempt
		if same {
			rest := append(append([]Event(nil), running[:i]...), running[i+1:]...)
			return e, rest, true
		}
	}
	return Event{}, running, false
}
