package port

import "github.com/zeebo/errs"

// NotStarted is the class of errors that prove that a call had no effect, such
// as a refused connection or an explicit rejection.
var NotStarted = errs.Class("not started")

// LogTruncated is the class of errors of Log.Read for offsets that the log no
// longer retains.
var LogTruncated = errs.Class("log truncated")
