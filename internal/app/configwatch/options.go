// Package configwatch keeps a process's configuration current. It follows the
// configuration's log stream by long polls and, while the log does not answer,
// asks the other members.
//
// A snapshot is fresh while the process has proof, not older than FreshFor,
// that no newer configuration is in force: it read the log's end, a member
// that did says so, or every other member answers that it cannot read the log
// either. docs/design/configuration.md weighs these rules.
package configwatch

import (
	"time"

	"github.com/sirupsen/logrus"
	"github.com/zeebo/errs"

	"github.com/balsamhitch/balsamhitch/internal/port"
)

// Error is the class of errors of this package.
var Error = errs.Class("configuration")

// The defaults of Options.
const (
	DefaultFreshFor        = 3 * time.Second
	DefaultMaxOutage       = 15 * time.Minute
	DefaultCheckpointEvery = 10 * time.Minute
)

const (
	// readLimit bounds the records of one read.
	readLimit = 512
	// readTimeout bounds one read, which a slow log may take long to answer.
	readTimeout = 10 * time.Second
	// retryDelay is the first delay after a failed read.
	retryDelay = 50 * time.Millisecond
	// maxRetryDelay bounds the delay between failed reads, so that a change is
	// in force soon after the log is back.
	maxRetryDelay = 500 * time.Millisecond
	// queryTimeout bounds one question to a member.
	queryTimeout = 700 * time.Millisecond
	// recentBytes bounds the records that are kept for members that lag.
	recentBytes = 256 << 10
)

// Options are the surroundings of a Watcher. Log and Clock must be set.
type Options struct {
	Log   port.Log
	Clock port.Clock
	// Peer asks other members; without it only the log makes a snapshot fresh.
	Peer port.Peer
	// Members returns the peer addresses of the other members, without those
	// whose VM is gone from the VM list. It reports false while the process
	// does not know them. It must be safe for concurrent use.
	Members func() (addresses []string, known bool)
	// FreshFor is how long a proof counts.
	FreshFor time.Duration
	// MaxOutage bounds how long a process goes on because no member can read
	// the log; its list of members is that old in the worst case.
	MaxOutage time.Duration
	// CheckpointEvery is the time between checkpoints; it must be well within
	// the log's retention.
	CheckpointEvery time.Duration
	Logger          *logrus.Entry
}

// readWait is how long one read waits for new records. A proof is dated from
// before its read was sent, so it is two reads old when the next one comes,
// which must be well below the age at which the members are asked.
func (o Options) readWait() time.Duration { return o.FreshFor / 6 }

func (o Options) withDefaults() Options {
	if o.FreshFor == 0 {
		o.FreshFor = DefaultFreshFor
	}
	if o.MaxOutage == 0 {
		o.MaxOutage = DefaultMaxOutage
	}
	if o.CheckpointEvery == 0 {
		o.CheckpointEvery = DefaultCheckpointEvery
	}
	if o.Members == nil {
		o.Members = func() ([]string, bool) { return nil, false }
	}
	if o.Logger == nil {
		o.Logger = logrus.NewEntry(logrus.StandardLogger())
	}
	o.Logger = o.Logger.WithField("part", "configuration")
	return o
}
