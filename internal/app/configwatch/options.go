// Package configwatch keeps a process's configuration current. It follows the
// configuration's log stream by long polls and, while the log does not answer,
// queries the other members.
//
// A snapshot is fresh while the process has a confirmation, not older than
// FreshFor, that no newer configuration is in force: it read up to the log's
// end, a member that did so reports no newer revision, or every other member
// replies that it cannot read the log either. docs/design/configuration.md
// discusses these rules.
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
	// readLimit is the maximum number of records of one read.
	readLimit = 512
	// readTimeout limits one read; a slow log may need seconds to answer.
	readTimeout = 10 * time.Second
	// retryDelay is the first delay after a failed read.
	retryDelay = 50 * time.Millisecond
	// maxRetryDelay limits the delay between failed reads, so that changes are
	// in force soon after the log has recovered.
	maxRetryDelay = 500 * time.Millisecond
	// queryTimeout limits one query to a member.
	queryTimeout = 700 * time.Millisecond
	// recentBytes limits the size of the records that are kept for members that
	// lag behind.
	recentBytes = 256 << 10
)

// Options configures a Watcher. Log and Clock must be set.
type Options struct {
	Log   port.Log
	Clock port.Clock
	// Peer queries other members; if nil, only the log confirms a snapshot.
	Peer port.Peer
	// Members returns the peer addresses of the other members, without those
	// whose VM has left the VM list. It reports false while the process does
	// not know the members. It must be safe for concurrent use.
	Members func() (addresses []string, known bool)
	// FreshFor is how long a confirmation is valid.
	FreshFor time.Duration
	// MaxOutage limits how long a snapshot stays fresh because no member can
	// read the log; in the worst case the list of members is that old.
	MaxOutage time.Duration
	// CheckpointEvery is the time between checkpoints; it must be well within
	// the log's retention.
	CheckpointEvery time.Duration
	Logger          *logrus.Entry
}

// readWait is how long one read waits for new records. A confirmation dates from
// before its read was sent, so it is up to two read waits old when the next
// confirmation arrives. That must be well below the age at which the members are
// queried.
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
