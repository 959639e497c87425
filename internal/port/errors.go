package port

import (
	"time"

	"github.com/zeebo/errs"
)

// NotStarted is the class of errors that prove that a call had no effect: it was not
// made, for example because the connection was refused, or a process or worker
// rejected it. Calls that a keyed log rejects fail with its own classes instead, such
// as Refused.
var NotStarted = errs.Class("not started")

// NotConnected is the class of errors that prove that a call for one incarnation of a
// worker was not sent: no connection is known to end at it.
var NotConnected = errs.Class("not connected to the incarnation")

// LogTruncated is the class of errors of Log.Read for offsets that the log no
// longer retains.
var LogTruncated = errs.Class("log truncated")

// OverloadedError is the refusal of a job that would end too late to be of use for want of
// room. It comes with the class NotStarted: the job has not run.
type OverloadedError struct {
	Detail     string        // what the refusal rests on
	RetryAfter time.Duration // until there is expected to be room
}

// Error implements error.
func (e *OverloadedError) Error() string { return e.Detail }
