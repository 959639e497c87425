// Package suitability decides whether the owner of a cell hands the cell over to a
// better suited node. It answers the load of a cell whose VMs differ in size: after a
// failure of its large VMs a small one owns it, which they can relieve once they are back.
package suitability

import "time"

const (
	// ClearGap is the factor, in percent, by which the processors or the link of a
	// clearly larger VM exceed those of another.
	ClearGap = 200
	// BehindGap takes the place of ClearGap for an owner that is behind.
	BehindGap = 125
	// MaxBehind is how far an owner may be behind with its work.
	MaxBehind = time.Second
	// SoundTime is how long a node must have been sound and in touch without a gap or a
	// restart.
	SoundTime = 2500 * time.Millisecond
	// MaxAnswerGap is the time between two answers of a node that is in touch.
	MaxAnswerGap = 1500 * time.Millisecond
	// MoveInterval is the least time between two attempts to move the cell, and between
	// a handover and a move by the new owner.
	MoveInterval = 5 * time.Second
	// MaxAppendAge is how old the owner's latest append may be: an older one means that
	// it is about to be replaced or has lost the log.
	MaxAppendAge = time.Second
	// MaxLogAnswer is the time in which a healthy log answers a node's read.
	MaxLogAnswer = 250 * time.Millisecond
)

// Size is the size of a node's VM. A zero field is not known.
type Size struct {
	MilliProcessors int64
	LinkMbits       int64
	MemoryMiB       int64
}

// Exceeds reports whether s is larger than other by a factor of gap percent in processors
// or link, and smaller in nothing. What is not known of either decides nothing.
func (s Size) Exceeds(other Size, gap int64) bool {
	larger := false
	for _, d := range [...]struct {
		own, other int64
		carries    bool // the work of an owner grows with it
	}{
		{s.MilliProcessors, other.MilliProcessors, true},
		{s.LinkMbits, other.LinkMbits, true},
		{s.MemoryMiB, other.MemoryMiB, false},
	} {
		if d.own == 0 || d.other == 0 {
			continue
		}
		if d.own < d.other {
			return false
		}
		larger = larger || d.carries && d.own*100 >= d.other*gap
	}
	return larger
}

// Candidate is a node that may take over, as the owner knows it.
type Candidate struct {
	Node string
	Size Size
	// SoundFor is the time since which every answer of the node said that it could take
	// over; zero if the latest did not, or if it is older than MaxAnswerGap.
	SoundFor time.Duration
	// Stopping is whether the latest answer said that the node is stopping.
	Stopping bool
	// Direct is whether the node reaches the log without the help of other nodes.
	Direct bool
	// LogAnswer is the time in which the log answers the node.
	LogAnswer time.Duration
}

// Snapshot is what the owner knows when it decides.
type Snapshot struct {
	Stopping  bool // this node is stopping
	Size      Size
	SinceMove time.Duration // since the latest handover to or move by this node that is known
	AppendAge time.Duration // since the log last answered an append of this owner
	Behind    time.Duration // with its work
	// Candidates are the nodes that Better selects, the most suitable first.
	Candidates []Candidate
}

// Reason names why the owner keeps the cell or hands it over.
type Reason string

// The reasons of a decision.
const (
	Move             Reason = "clearly better suited node"
	MoveBehind       Reason = "owner is behind and another node is better suited"
	NoBetterNode     Reason = "no node is clearly better suited"
	Stopping         Reason = "owner is stopping"
	ReleaseUnderWay  Reason = "a better suited node is stopping"
	MovedRecently    Reason = "cell was handed over or moved recently"
	LogUnavailable   Reason = "log does not answer appends"
	LogSlow          Reason = "log is slow or out of reach for the better suited nodes"
	NoSoundCandidate Reason = "no better suited node has been sound for long enough"
)

// Decision says which node the cell is handed over to; "" if the owner keeps it.
type Decision struct {
	Successor string
	Reason    Reason
}

// Better reports whether a VM of the size is better suited than the owner's for an owner
// that is this far behind.
func Better(candidate, owner Size, behind time.Duration) bool {
	return candidate.Exceeds(owner, gap(behind))
}

func gap(behind time.Duration) int64 {
	if behind > MaxBehind {
		return BehindGap
	}
	return ClearGap
}

// Decide returns the successor of the owner, if the cell should have another one.
func Decide(s *Snapshot) Decision {
	if reason := s.obstacle(); reason != "" {
		return Decision{Reason: reason}
	}
	sound := false
	for i := range s.Candidates {
		candidate := &s.Candidates[i]
		if candidate.SoundFor < SoundTime {
			continue
		}
		sound = true
		if !candidate.Direct || candidate.LogAnswer > MaxLogAnswer {
			continue
		}
		if candidate.Size.Exceeds(s.Size, ClearGap) {
			return Decision{Successor: candidate.Node, Reason: Move}
		}
		return Decision{Successor: candidate.Node, Reason: MoveBehind}
	}
	if sound {
		return Decision{Reason: LogSlow}
	}
	return Decision{Reason: NoSoundCandidate}
}

// obstacle returns the reason against a change of owner at this time, "" if there is none.
func (s *Snapshot) obstacle() Reason {
	switch {
	case s.Stopping:
		return Stopping
	case len(s.Candidates) == 0:
		return NoBetterNode
	case s.SinceMove < MoveInterval:
		return MovedRecently
	case s.AppendAge > MaxAppendAge:
		return LogUnavailable
	}
	for i := range s.Candidates {
		if s.Candidates[i].Stopping {
			return ReleaseUnderWay
		}
	}
	return ""
}
