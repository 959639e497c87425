// Package relocation moves the ownership of the cell by plan to a clearly better suited
// node. Package suitability decides; the cell is handed over as in a planned stop.
package relocation

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"github.com/balsamhitch/balsamhitch/internal/app/pause"
	"github.com/balsamhitch/balsamhitch/internal/app/replica"
	"github.com/balsamhitch/balsamhitch/internal/core/suitability"
	"github.com/balsamhitch/balsamhitch/internal/port"
)

const (
	// checkInterval is the time between two decisions, and so between two calls to a node.
	checkInterval = 500 * time.Millisecond
	// askTimeout bounds a call to a node; an owner that is behind reads answers late.
	askTimeout = time.Second
	// maxAsked bounds the number of nodes that are asked.
	maxAsked = 8
)

// Fitness is what a node answers about itself as a successor.
type Fitness struct {
	Fit       bool // it could take over the cell
	Stopping  bool
	Direct    bool // it reaches the log without the help of other nodes
	LogAnswer time.Duration
}

// Owner is this node's service as the owner of the cell.
type Owner interface {
	Owning() bool
	Epoch() uint64
	AppendAge() time.Duration
	Behind() time.Duration
}

// Mover hands the cell over while this node owns it and another one is clearly better
// suited. All exported fields are required.
type Mover struct {
	Node     string
	Size     suitability.Size // of this node's VM
	Owner    Owner
	Replica  *replica.Replica
	Clock    port.Clock
	Logger   logrus.FieldLogger
	Stopping func() bool // reports whether this node is stopping
	// Ask asks a node whether it could take over.
	Ask func(ctx context.Context, node string) (Fitness, error)
	// HandOver makes the node the owner in place of this one, which owns the cell with the
	// epoch. After an error this one goes on serving.
	HandOver func(ctx context.Context, node string, epoch uint64, serving func() bool) error

	// WasHandedOver reports whether this node got the cell by a handover with the epoch.
	WasHandedOver func(epoch uint64) bool

	epoch    uint64        // of this node as the owner
	movedAt  time.Duration // clock reading of the latest handover to this node or attempt to move the cell, zero if none
	reason   suitability.Reason
	contacts map[string]contact // nodes that were asked in this epoch
}

// contact is what is known of a node that is asked.
type contact struct {
	fitness    Fitness
	started    time.Time     // of the node's process
	soundSince time.Duration // clock reading of the first answer without a later gap; zero if not sound
	answeredAt time.Duration // clock reading of the latest answer
}

// Run decides in intervals until the context ends.
func (m *Mover) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if m.Owner.Owning() {
			m.check(ctx)
		}
		pause.Sleep(ctx, checkInterval)
	}
}

// check asks the better suited nodes, decides once and hands the cell over if it should
// have another owner.
func (m *Mover) check(ctx context.Context) {
	if epoch := m.Owner.Epoch(); epoch != m.epoch {
		m.epoch, m.reason, m.contacts = epoch, "", map[string]contact{}
		if m.WasHandedOver(epoch) {
			m.movedAt = m.Clock.Now()
		}
	}
	behind := m.Owner.Behind()
	better := m.betterNodes(behind)
	m.ask(ctx, better)
	snapshot := m.snapshot(better, behind)
	decision := suitability.Decide(&snapshot)
	m.note(decision, &snapshot)
	if decision.Successor != "" {
		m.move(ctx, decision.Successor)
	}
}

// betterNodes returns the nodes that are clearly better suited, the most suitable first.
func (m *Mover) betterNodes(behind time.Duration) []string {
	var better []string
	for _, node := range m.Replica.PeersBySuitability(m.Node) {
		info, _ := m.Replica.NodeInfo(node)
		if suitability.Better(info.Size, m.Size, behind) {
			better = append(better, node)
		}
	}
	return better[:min(len(better), maxAsked)]
}

// ask asks the nodes at once and records their answers.
func (m *Mover) ask(ctx context.Context, nodes []string) {
	answers := make([]*Fitness, len(nodes))
	callCtx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var group sync.WaitGroup
	for i, node := range nodes {
		group.Go(func() {
			if answer, err := m.Ask(callCtx, node); err == nil {
				answers[i] = &answer
			}
		})
	}
	group.Wait()
	now := m.Clock.Now()
	for i, node := range nodes {
		if answers[i] != nil {
			info, _ := m.Replica.NodeInfo(node)
			m.contacts[node] = m.contacts[node].after(*answers[i], info.Started, now)
		}
	}
}

// after returns the contact after an answer of a node whose process has started then.
func (c contact) after(answer Fitness, started time.Time, now time.Duration) contact {
	switch {
	case !answer.Fit:
		c.soundSince = 0
	case c.soundSince == 0 || now-c.answeredAt > suitability.MaxAnswerGap || !started.Equal(c.started):
		c.soundSince = now
	}
	c.fitness, c.started, c.answeredAt = answer, started, now
	return c
}

// soundFor returns suitability.Candidate.SoundFor.
func (c contact) soundFor(now time.Duration) time.Duration {
	if c.soundSince == 0 || now-c.answeredAt > suitability.MaxAnswerGap {
		return 0
	}
	return now - c.soundSince
}

func (m *Mover) snapshot(nodes []string, behind time.Duration) suitability.Snapshot {
	now := m.Clock.Now()
	s := suitability.Snapshot{
		Stopping: m.Stopping(), Size: m.Size, SinceMove: now - m.movedAt, AppendAge: m.Owner.AppendAge(), Behind: behind,
	}
	if m.movedAt == 0 {
		s.SinceMove = suitability.MoveInterval
	}
	for _, node := range nodes {
		info, _ := m.Replica.NodeInfo(node)
		c := m.contacts[node]
		s.Candidates = append(s.Candidates, suitability.Candidate{
			Node: node, Size: info.Size, SoundFor: c.soundFor(now), Stopping: c.fitness.Stopping,
			Direct: c.fitness.Direct, LogAnswer: c.fitness.LogAnswer,
		})
	}
	return s
}

// note counts and logs a decision if its reason has changed. That no node is better
// suited is the usual case and not logged.
func (m *Mover) note(decision suitability.Decision, s *suitability.Snapshot) {
	if decision.Reason == m.reason {
		return
	}
	m.reason = decision.Reason
	if decision.Successor == "" {
		metrics.GetOrCreateCounter(fmt.Sprintf("balsam_owner_stays_total{reason=%q}", decision.Reason)).Inc()
	}
	if decision.Reason == suitability.NoBetterNode {
		return
	}
	sound := 0
	for i := range s.Candidates {
		if s.Candidates[i].SoundFor >= suitability.SoundTime {
			sound++
		}
	}
	fields := logrus.Fields{
		"epoch": m.epoch, "reason": decision.Reason, "processors_m": s.Size.MilliProcessors, "better_nodes": len(s.Candidates), "sound": sound,
		"since_move_ms": s.SinceMove.Milliseconds(), "append_age_ms": s.AppendAge.Milliseconds(), "behind_ms": s.Behind.Milliseconds(),
	}
	if decision.Successor == "" {
		m.Logger.WithFields(fields).Info("owner keeps the cell, though better suited nodes are known")
		return
	}
	m.Logger.WithFields(fields).WithField("successor", decision.Successor).Info("moving the cell to a better suited node")
}

// move hands the cell over to the node.
func (m *Mover) move(ctx context.Context, successor string) {
	start := m.Clock.Now()
	m.movedAt, m.reason = start, "" // the outcome of the next decision is noted again
	err := m.HandOver(ctx, successor, m.epoch, func() bool { return m.Owner.Owning() && m.Owner.Epoch() == m.epoch })
	entry := m.Logger.WithFields(logrus.Fields{"epoch": m.epoch, "successor": successor, "took_ms": (m.Clock.Now() - start).Milliseconds()})
	if err != nil {
		metrics.GetOrCreateCounter(`balsam_owner_moves_total{outcome="failed"}`).Inc()
		entry.WithError(err).Warn("moving the cell failed; serving on")
		return
	}
	metrics.GetOrCreateCounter(`balsam_owner_moves_total{outcome="done"}`).Inc()
	entry.Info("cell moved")
}
