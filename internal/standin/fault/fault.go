// Package fault injects faults into stand-ins: delays, outages, refusals, lost
// answers and failing tasks.
package fault

import (
	"context"
	"sync"
	"time"
)

// Faults are the faults that a stand-in injects. The zero value injects none.
type Faults struct {
	SlowMS int  `json:"slow_ms,omitempty"` // delay before a call is executed
	Down   bool `json:"down,omitempty"`    // drops connections without executing the call
	Hang   bool `json:"hang,omitempty"`    // neither executes nor answers calls until cleared
	Refuse bool `json:"refuse,omitempty"`  // answers that the call was not executed
	// LoseAnswers is the number of calls that are executed but whose answers
	// are dropped; a negative number means all calls.
	LoseAnswers int  `json:"lose_answers,omitempty"`
	FailTasks   bool `json:"fail_tasks,omitempty"` // every started task or request fails
}

// Injector applies the faults of one stand-in. It is safe for concurrent use.
type Injector struct {
	mu      sync.Mutex
	faults  Faults
	changed chan struct{}
}

// NewInjector returns an Injector without faults.
func NewInjector() *Injector {
	return &Injector{changed: make(chan struct{})}
}

// Set replaces the faults and wakes calls that hang.
func (i *Injector) Set(f Faults) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.faults = f
	close(i.changed)
	i.changed = make(chan struct{})
}

// Get returns the current faults.
func (i *Injector) Get() Faults {
	faults, _ := i.state()
	return faults
}

func (i *Injector) state() (Faults, <-chan struct{}) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.faults, i.changed
}

// Verdict is what the stand-in has to do with a call.
type Verdict int

// The verdicts.
const (
	Proceed Verdict = iota // execute the call
	Refuse                 // answer that the call was not executed
	Drop                   // close the connection without an answer
)

// BeforeCall applies delays and hangs and returns what to do with the call. A
// call that hangs is dropped when ctx is done.
func (i *Injector) BeforeCall(ctx context.Context) Verdict {
	faults, changed := i.state()
	for faults.Hang {
		select {
		case <-changed:
		case <-ctx.Done():
			return Drop
		}
		faults, changed = i.state()
	}
	switch {
	case faults.Down:
		return Drop
	case faults.Refuse:
		return Refuse
	case faults.SlowMS > 0:
		time.Sleep(time.Duration(faults.SlowMS) * time.Millisecond)
	}
	return Proceed
}

// DropAnswer reports whether the answer to an executed call must be dropped,
// and counts it against Faults.LoseAnswers.
func (i *Injector) DropAnswer() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.faults.Down || i.faults.LoseAnswers < 0 {
		return true
	}
	if i.faults.LoseAnswers == 0 {
		return false
	}
	i.faults.LoseAnswers--
	return true
}
