// Package fault makes a stand-in slow, down or forgetful on demand.
package fault

import (
	"context"
	"sync"
	"time"
)

// Faults is what a stand-in does wrong. The zero value is a healthy one.
type Faults struct {
	SlowMS int  `json:"slow_ms,omitempty"` // waits before acting
	Down   bool `json:"down,omitempty"`    // drops connections without acting
	Hang   bool `json:"hang,omitempty"`    // neither acts nor answers until cleared
	Refuse bool `json:"refuse,omitempty"`  // refuses without acting, and says so
	// LoseAnswers is the number of calls whose answers are dropped after
	// acting; a negative number means all.
	LoseAnswers int  `json:"lose_answers,omitempty"`
	FailTasks   bool `json:"fail_tasks,omitempty"` // fails all work it starts
}

// Injector holds the faults of one stand-in. It is safe for concurrent use.
type Injector struct {
	mu      sync.Mutex
	faults  Faults
	changed chan struct{}
}

// NewInjector returns an Injector without faults.
func NewInjector() *Injector {
	return &Injector{changed: make(chan struct{})}
}

// Set replaces the faults.
func (i *Injector) Set(f Faults) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.faults = f
	close(i.changed)
	i.changed = make(chan struct{})
}

// Get returns the faults.
func (i *Injector) Get() Faults {
	faults, _ := i.state()
	return faults
}

func (i *Injector) state() (Faults, <-chan struct{}) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.faults, i.changed
}

// Verdict tells what to do with a call.
type Verdict int

// The verdicts.
const (
	Proceed Verdict = iota
	Refuse          // answer that nothing was done
	Drop            // close the connection without an answer
)

// Before waits as the faults say and tells whether to act on the call.
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

// After tells whether the answer to a call that was acted on is lost.
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
