// Package ctl is the operators' client balsamctl without its command line. It
// publishes changes of the configuration on the platform's log and asks the
// members for their status.
package ctl

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/zeebo/errs"

	"github.com/balsamhitch/balsamhitch/internal/app/configwatch"
	"github.com/balsamhitch/balsamhitch/internal/core/config"
	"github.com/balsamhitch/balsamhitch/internal/core/findings"
	"github.com/balsamhitch/balsamhitch/internal/port"
)

// The exit codes of balsamctl.
const (
	ExitOK       = 0
	ExitFailure  = 1 // nothing was changed
	ExitBadInput = 2
	ExitConflict = 3 // another operator's change came first
	ExitTimeout  = 4 // the change is or may be on the log, but not known to be in force
)

var (
	// BadInput is the class of errors that the operator can mend.
	BadInput = errs.Class("bad input")
	// Conflict is the class of changes that lost to another one.
	Conflict = errs.Class("conflict")
	// Unknown is the class of changes that may or may not take effect.
	Unknown = errs.Class("outcome unknown")
	// NotInForce is the class of changes that stand, but are not known to be
	// in force on every member.
	NotInForce = errs.Class("not in force everywhere yet")
	// Failure is the class of all other errors; nothing was changed.
	Failure = errs.Class("failure")
)

// ExitCode returns the exit code that stands for the error.
func ExitCode(err error) int {
	var list findings.List
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &list), BadInput.Has(err):
		return ExitBadInput
	case Conflict.Has(err):
		return ExitConflict
	case Unknown.Has(err), NotInForce.Has(err):
		return ExitTimeout
	default:
		return ExitFailure
	}
}

// Client does one command. It is not safe for concurrent use.
type Client struct {
	Log      port.Log
	VMList   port.VMList
	Peer     port.Peer
	Random   io.Reader // of the secrets of keys
	Out      io.Writer // results
	Progress io.Writer // progress
	JSON     bool      // results as JSON instead of tables
	Wait     bool      // until changes are in force everywhere
	// Timeout bounds a command, waiting included.
	Timeout time.Duration
}

// load reads the present configuration. It repeats reads that fail until the
// timeout.
func (c *Client) load(ctx context.Context) (*config.Fold, error) {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	delay := newBackOff()
	for noted := false; ; noted = true {
		fold, err := configwatch.Load(ctx, c.Log)
		if err == nil {
			return fold, nil
		}
		if !noted {
			c.note("the configuration cannot be read from the log, trying again: %v", err)
		}
		if !pause(ctx, delay.NextBackOff()) {
			return nil, Failure.New("the configuration cannot be read from the log: %w", err)
		}
	}
}
