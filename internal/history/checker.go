package history

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

// Promise is a property of the system that must always hold.
type Promise string

// The promises that the checker verifies.
const (
	NoOvercommit       Promise = "no VM runs more than it holds"
	SinglePlacement    Promise = "no task runs in two places at once"
	KeyRequired        Promise = "work is taken only with the team's key"
	UpperLimit         Promise = "no team runs more than its upper limit"
	NoStartInDomainOut Promise = "no start in a failure domain that is out"
	CompleteAnswer     Promise = "every caller gets its own whole answer once"
	AccurateNotRun     Promise = "a refusal that says not run is true"
	AtMostOnce         Promise = "a non-idempotent request runs at most once"
	NoStartOnLeaving   Promise = "a leaving target gets no new work"
	NoLostWork         Promise = "no accepted work is lost"
	ConfigNoRevert     Promise = "an accepted configuration never reverts"
	ConfigInForce      Promise = "an accepted configuration is in force in time"
)

// DefaultGrace is the time within which a change, such as the withdrawal of a
// key or a lower limit, has to take effect.
const DefaultGrace = 4 * time.Second

// Promises returns all promises in the order in which reports list them.
func Promises() []Promise {
	return []Promise{
		NoOvercommit, SinglePlacement, KeyRequired, UpperLimit, NoStartInDomainOut,
		CompleteAnswer, AccurateNotRun, AtMostOnce, NoStartOnLeaving, NoLostWork,
		ConfigNoRevert, ConfigInForce,
	}
}

// Options configures what the checker allows.
type Options struct {
	// Grace is the time within which a change has to take effect; zero means
	// DefaultGrace.
	Grace time.Duration
	// Unfinished allows sends without an answer and jobs without an end, for
	// histories that stop while work is in flight.
	Unfinished bool
}

// Violation is a broken promise with the events that show it.
type Violation struct {
	Promise Promise
	Detail  string
	Events  []Event
}

// String returns the violation with one event per line.
func (v Violation) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "broken: %s: %s", v.Promise, v.Detail)
	for _, e := range v.Events {
		fmt.Fprintf(&b, "\n  %s", e)
	}
	return b.String()
}

// String returns the fields of the event that identify it.
func (e Event) String() string {
	parts := []string{e.At.Format("15:04:05.000000"), string(e.Kind)}
	for _, field := range [...]struct{ name, value string }{
		{"vm", string(e.VM)}, {"domain", string(e.Domain)}, {"team", string(e.Team)},
		{"task", string(e.Task)}, {"job", string(e.Job)}, {"request", string(e.Request)},
		{"permit", e.Permit}, {"state", e.State}, {"call", e.Call},
		{"outcome", string(e.Outcome)}, {"body_call", e.BodyCall}, {"key", e.Key},
		{"member", string(e.Member)}, {"detail", e.Detail},
	} {
		if field.value != "" {
			parts = append(parts, field.name+"="+field.value)
		}
	}
	if e.Attempt != 0 {
		parts = append(parts, fmt.Sprintf("attempt=%d", e.Attempt))
	}
	if e.Revision != 0 {
		parts = append(parts, fmt.Sprintf("revision=%d", e.Revision))
	}
	if !e.Size.IsZero() {
		parts = append(parts, fmt.Sprintf("size=%+v", e.Size))
	}
	return strings.Join(parts, " ")
}

// Report is the result of checking a history.
type Report struct {
	Violations []Violation
	// Tested counts, per promise, the events that could have broken it. A
	// promise without a count was not tested by the history.
	Tested map[Promise]int
}

// Check returns the violations that Analyze finds.
func Check(events []Event, options Options) []Violation {
	return Analyze(events, options).Violations
}

// Analyze checks the events against all promises. It processes them in the
// order of their times, those with equal times in the order given.
func Analyze(events []Event, options Options) Report {
	if options.Grace == 0 {
		options.Grace = DefaultGrace
	}
	sorted := append([]Event(nil), events...)
	sort.SliceStable(sorted, func(i, j int) bool { return sorted[i].At.Before(sorted[j].At) })
	c := &checker{
		options:        options,
		vms:            make(map[model.VMID]*vmState),
		teams:          make(map[model.TeamID]*teamState),
		tasks:          make(map[string]*taskState),
		calls:          make(map[string]*callState),
		keys:           make(map[string]*keyState),
		openQueues:     make(map[model.TeamID]bool),
		domainsOut:     make(map[model.FailureDomain]Event),
		lastConfigSeen: make(map[model.MemberID]Event),
		tested:         make(map[Promise]int),
		leavingVMs:     make(map[model.VMID]Event),
	}
	for _, e := range sorted {
		c.apply(e)
	}
	c.checkCalls()
	return Report{Violations: c.violations, Tested: c.tested}
}

type vmState struct {
	seen    *Event
	used    model.Resources
	running []Event
}

type teamState struct {
	limits  []Event
	used    model.Resources
	running []Event
}

// taskState is the state of one task across its attempts; see taskName.
type taskState struct {
	starts  []Event
	running []Event
}

type keyState struct {
	issued    *Event
	withdrawn *Event
}

type checker struct {
	options         Options
	vms             map[model.VMID]*vmState
	teams           map[model.TeamID]*teamState
	tasks           map[string]*taskState
	calls           map[string]*callState
	callOrder       []string // names of calls in the order of their first events
	keys            map[string]*keyState
	openQueues      map[model.TeamID]bool
	domainsOut      map[model.FailureDomain]Event
	lastConfigSeen  map[model.MemberID]Event
	acceptedConfigs []Event
	violations      []Violation
	tested          map[Promise]int
	leavingVMs      map[model.VMID]Event
}

func (c *checker) addViolation(promise Promise, detail string, events ...Event) {
	c.violations = append(c.violations, Violation{Promise: promise, Detail: detail, Events: events})
}

func (c *checker) apply(e Event) {
	switch e.Kind {
	case TaskStart, QuickStart:
		c.applyStart(e)
	case TaskEnd, QuickEnd:
		c.applyEnd(e)
	case VMSeen:
		c.vm(e.VM).seen = &e
	case VMLeaving:
		c.leavingVMs[e.VM] = e
	case VMReturned:
		delete(c.leavingVMs, e.VM)
	case Sent, Answered, Abandoned, Accepted, JobEnded:
		c.applyCallerEvent(e)
	case KeyIssued:
		c.keys[e.Key] = &keyState{issued: &e}
	case KeyWithdrawn:
		c.key(e.Key).withdrawn = &e
	case QueueOpen:
		c.openQueues[e.Team] = true
	case LimitSet:
		team := c.team(e.Team)
		team.limits = append(team.limits, e)
	case DomainOut:
		c.domainsOut[e.Domain] = e
	case DomainBack:
		delete(c.domainsOut, e.Domain)
	case ConfigAccepted:
		c.acceptedConfigs = append(c.acceptedConfigs, e)
	case ConfigSeen:
		c.applyConfigSeen(e)
	}
}

func (c *checker) vm(id model.VMID) *vmState {
	if c.vms[id] == nil {
		c.vms[id] = &vmState{}
	}
	return c.vms[id]
}

func (c *checker) team(id model.TeamID) *teamState {
	if c.teams[id] == nil {
		c.teams[id] = &teamState{}
	}
	return c.teams[id]
}

func (c *checker) key(name string) *keyState {
	if c.keys[name] == nil {
		c.keys[name] = &keyState{}
	}
	return c.keys[name]
}

func (c *checker) applyConfigSeen(e Event) {
	c.tested[ConfigNoRevert]++
	if previous, ok := c.lastConfigSeen[e.Member]; ok && previous.Revision > e.Revision {
		c.addViolation(ConfigNoRevert, "a member went back to an older revision", previous, e)
	}
	c.lastConfigSeen[e.Member] = e
	for _, accepted := range c.acceptedConfigs {
		if e.At.Sub(accepted.At) <= c.options.Grace {
			continue
		}
		c.tested[ConfigInForce]++
		if e.Revision < accepted.Revision {
			c.addViolation(ConfigInForce, "a member answers with a revision that was replaced", accepted, e)
			return
		}
	}
}
