package history

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

// Promise names one of the properties that must always hold.
type Promise string

// The promises that a history can show to be broken.
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

// DefaultGrace is the time within which a withdrawal takes effect.
const DefaultGrace = 4 * time.Second

// Promises lists all promises in the order of reports.
func Promises() []Promise {
	return []Promise{
		NoOvercommit, SinglePlacement, KeyRequired, UpperLimit, NoStartInDomainOut,
		CompleteAnswer, AccurateNotRun, AtMostOnce, NoStartOnLeaving, NoLostWork,
		ConfigNoRevert, ConfigInForce,
	}
}

// Options sets what the checker allows.
type Options struct {
	// Grace is the time within which a withdrawal has to take effect; zero
	// means four seconds.
	Grace time.Duration
	// Unfinished allows sendings without an answer and jobs without an end,
	// for histories that are cut in the middle.
	Unfinished bool
}

// Violation is a broken promise and the events that show it.
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

// Report is the judgement on a history.
type Report struct {
	Violations []Violation
	// Tested counts, per promise, the events that could have broken it. A
	// promise without any was not put to the test.
	Tested map[Promise]int
}

// Check returns every promise that the events show to be broken; see Judge.
func Check(events []Event, options Options) []Violation {
	return Analyze(events, options).Violations
}

// Judge looks for broken promises. Events of one recorder keep their order
// where their times are equal.
func Analyze(events []Event, options Options) Report {
	if options.Grace == 0 {
		options.Grace = DefaultGrace
	}
	sorted := append([]Event(nil), events...)
	sort.SliceStable(sorted, func(i, j int) bool { return sorted[i].At.Before(sorted[j].At) })
	c := &checker{
		options:  options,
		vms:      make(map[model.VMID]*vmState),
		teams:    make(map[model.TeamID]*teamState),
		work:     make(map[string]*workState),
		calls:    make(map[string]*callState),
		keys:     make(map[string]*keyState),
		open:     make(map[model.TeamID]bool),
		out:      make(map[model.FailureDomain]Event),
		revision: make(map[model.MemberID]Event),
		tested:   make(map[Promise]int),
		leaving:  make(map[model.VMID]Event),
	}
	for _, e := range sorted {
		c.apply(e)
	}
	c.finish()
	return Report{Violations: c.found, Tested: c.tested}
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

// workState follows one task by its caller's name, across attempts and job
// ids.
type workState struct {
	starts  []Event
	running []Event
}

type keyState struct {
	issued    *Event
	withdrawn *Event
}

type checker struct {
	options  Options
	vms      map[model.VMID]*vmState
	teams    map[model.TeamID]*teamState
	work     map[string]*workState
	calls    map[string]*callState
	order    []string // of calls
	keys     map[string]*keyState
	open     map[model.TeamID]bool
	out      map[model.FailureDomain]Event
	revision map[model.MemberID]Event
	accepted []Event
	found    []Violation
	tested   map[Promise]int
	leaving  map[model.VMID]Event
}

func (c *checker) report(promise Promise, detail string, events ...Event) {
	c.found = append(c.found, Violation{Promise: promise, Detail: detail, Events: events})
}

func (c *checker) apply(e Event) {
	switch e.Kind {
	case TaskStart, QuickStart:
		c.start(e)
	case TaskEnd, QuickEnd:
		c.end(e)
	case VMSeen:
		c.vm(e.VM).seen = &e
	case VMLeaving:
		c.leaving[e.VM] = e
	case VMReturned:
		delete(c.leaving, e.VM)
	case Sent, Answered, Abandoned, Accepted, JobEnded:
		c.caller(e)
	case KeyIssued:
		c.keys[e.Key] = &keyState{issued: &e}
	case KeyWithdrawn:
		c.key(e.Key).withdrawn = &e
	case QueueOpen:
		c.open[e.Team] = true
	case LimitSet:
		team := c.team(e.Team)
		team.limits = append(team.limits, e)
	case DomainOut:
		c.out[e.Domain] = e
	case DomainIn:
		delete(c.out, e.Domain)
	case ConfigAccepted:
		c.accepted = append(c.accepted, e)
	case ConfigSeen:
		c.configSeen(e)
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

func (c *checker) configSeen(e Event) {
	c.tested[ConfigNoRevert]++
	if before, ok := c.revision[e.Member]; ok && before.Revision > e.Revision {
		c.report(ConfigNoRevert, "a member went back to an older revision", before, e)
	}
	c.revision[e.Member] = e
	for _, accepted := range c.accepted {
		if e.At.Sub(accepted.At) <= c.options.Grace {
			continue
		}
		c.tested[ConfigInForce]++
		if e.Revision < accepted.Revision {
			c.report(ConfigInForce, "a member answers with a revision that was replaced", accepted, e)
			return
		}
	}
}
