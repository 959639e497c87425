package history

import (
	"fmt"
	"strings"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

// applyStart applies the start of a task or quick request and checks the
// promises that a start can break.
func (c *checker) applyStart(e Event) {
	c.checkSinglePlacement(e)
	c.checkDomain(e)
	c.checkLeaving(e)
	c.addToVM(e)
	c.addToTeam(e)
	c.call(e.Call).starts = append(c.call(e.Call).starts, e)
}

// addToVM adds the start to the VM's usage and checks its capacity.
func (c *checker) addToVM(e Event) {
	vm := c.vm(e.VM)
	vm.running = append(vm.running, e)
	vm.used = vm.used.Add(demand(e))
	if vm.seen == nil {
		return
	}
	c.tested[NoOvercommit]++
	if !vm.used.Fits(vm.seen.Size) {
		c.addViolation(NoOvercommit, fmt.Sprintf("%s runs %+v", e.VM, vm.used), append([]Event{*vm.seen}, vm.running...)...)
	}
}

// checkLeaving checks that the start is not on a leaving VM. While any VM is
// leaving, each start counts as a test, since it could have been placed there.
func (c *checker) checkLeaving(e Event) {
	for _, leaving := range c.leavingVMs {
		if e.At.Sub(leaving.At) > c.options.Grace {
			c.tested[NoStartOnLeaving]++
			break
		}
	}
	leaving, ok := c.leavingVMs[e.VM]
	if ok && e.At.Sub(leaving.At) > c.options.Grace {
		c.addViolation(NoStartOnLeaving, fmt.Sprintf("%s got work %s after it was set to leaving", e.VM, e.At.Sub(leaving.At)), leaving, e)
	}
}

// addToTeam adds the start to the team's usage and checks its upper limit.
func (c *checker) addToTeam(e Event) {
	team := c.team(e.Team)
	team.running = append(team.running, e)
	team.used = team.used.Add(demand(e))
	if len(team.limits) == 0 {
		return
	}
	c.tested[UpperLimit]++
	limit := c.limitAt(team, e)
	if !team.used.Fits(limit) {
		c.addViolation(UpperLimit, fmt.Sprintf("team %s runs %+v, limit %+v", e.Team, team.used, limit), append(append([]Event(nil), team.limits...), team.running...)...)
	}
}

// limitAt returns the largest of the team's limits that were in force within
// Options.Grace before e.
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

// checkDomain checks that the start is not in a failure domain that is out of
// service. While any domain is out, each start counts as a test.
func (c *checker) checkDomain(e Event) {
	for _, out := range c.domainsOut {
		if e.At.Sub(out.At) > c.options.Grace {
			c.tested[NoStartInDomainOut]++
			break
		}
	}
	out, isOut := c.domainsOut[e.Domain]
	if isOut && e.At.Sub(out.At) > c.options.Grace {
		c.addViolation(NoStartInDomainOut, fmt.Sprintf("a start in %s %s after it was taken out", e.Domain, e.At.Sub(out.At)), out, e)
	}
}

func (c *checker) checkSinglePlacement(e Event) {
	if e.Kind != TaskStart {
		return
	}
	c.tested[SinglePlacement]++
	state := c.task(e)
	if len(state.running) > 0 {
		c.addViolation(SinglePlacement, "a task was started while it ran", append(append([]Event(nil), state.running...), e)...)
	}
	state.running = append(state.running, e)
	state.starts = append(state.starts, e)
}

// applyEnd applies the end of a task or quick request. It ignores ends whose
// start is not in the history.
func (c *checker) applyEnd(e Event) {
	vm := c.vm(e.VM)
	started, remaining, ok := removeStart(vm.running, e)
	if !ok {
		return
	}
	vm.running = remaining
	vm.used = vm.used.Sub(demand(started))
	team := c.team(started.Team)
	if _, ofTeam, found := removeStart(team.running, e); found {
		team.running = ofTeam
		team.used = team.used.Sub(demand(started))
	}
	if e.Kind != TaskEnd {
		return
	}
	state := c.task(started)
	_, state.running, _ = removeStart(state.running, e)
	e.Call = started.Call
	c.call(started.Call).taskEnds = append(c.call(started.Call).taskEnds, e)
}

// task returns the state of the task that e belongs to.
func (c *checker) task(e Event) *taskState {
	name := taskName(e)
	if c.tasks[name] == nil {
		c.tasks[name] = &taskState{}
	}
	return c.tasks[name]
}

// taskName identifies a task by the caller's name for its job, if known, instead
// of the job id, so that a job that was accepted twice counts as one.
func taskName(e Event) string {
	if e.Call == "" {
		return string(e.Task)
	}
	id := string(e.Task)
	return e.Call + "/" + id[strings.LastIndex(id, "/")+1:]
}

// demand returns what the work uses of its VM's capacity and its team's limit.
func demand(e Event) model.Resources {
	if e.Kind == QuickStart {
		return model.Resources{Slots: 1}
	}
	return e.Size
}

// removeStart returns the start that end belongs to and the remaining ones. If
// there is no such start, it returns running unchanged and false.
func removeStart(running []Event, end Event) (Event, []Event, bool) {
	for i, e := range running {
		same := e.VM == end.VM && e.Task == end.Task && e.Request == end.Request && e.Attempt == end.Attempt
		if same {
			remaining := append(append([]Event(nil), running[:i]...), running[i+1:]...)
			return e, remaining, true
		}
	}
	return Event{}, running, false
}
