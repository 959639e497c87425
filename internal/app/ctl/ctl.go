// Package ctl implements the operators' client balsamctl without its command
// line. It publishes configuration changes on the platform's log and queries the
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
	ExitFailure  = 1 // nothing was changed, or only printing the result failed
	ExitBadInput = 2
	ExitConflict = 3 // another operator's change was published first
	ExitTimeout  = 4 // the change is or may be on the log, but is not known to be in force
)

var (
	// BadInput is the class of errors in the operator's input.
	BadInput = errs.Class("bad input")
	// Conflict is the class of errors for changes that were not applied because
	// another change was published first.
	Conflict = errs.Class("conflict")
	// Unknown is the class of errors for changes that may or may not take effect.
	Unknown = errs.Class("outcome unknown")
	// NotInForce is the class of errors for changes that were applied, but are not
	// known to be in force on every member.
	NotInForce = errs.Class("not in force everywhere yet")
	// Failure is the class of all other errors: nothing was changed, or only
	// printing the result failed.
	Failure = errs.Class("failure")
)

// ExitCode returns the exit code for the error.
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

// Client executes one command. It is not safe for concurrent use.
type Client struct {
	Log      port.Log
	VMList   port.VMList
	Peer     port.Peer
	Random   io.Reader // source of key secrets
	Out      io.Writer // results
	Progress io.Writer // progress messages
	JSON     bool      // prints results as JSON instead of tables
	Wait     bool      // waits until changes are in force on every member
	// Timeout is the timeout of a command, including its waiting.
	Timeout time.Duration
}

// load reads the current configuration. It retries failed reads until the
// timeout.
func (c *Client) load(ctx context.Context) (*config.Fold, error) {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	delay := newBackOff()
	for reported := false; ; reported = true {
		fold, err := configwatch.Load(ctx, c.Log)
		if err == nil {
			return fold, nil
		}
		if !reported {
			c.progressf("the configuration cannot be read from the log; retrying: %v", err)
		}
		if !sleep(ctx, delay.NextBackOff()) {
			return nil, Failure.New("the configuration cannot be read from the log: %w", err)
		}
	}
}
