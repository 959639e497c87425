package port

import (
	"context"
	"time"

	"github.com/zeebo/errs"
)

// The classes of errors of a keyed log. After any other error but NotStarted
// an append may or may not have taken effect, even seconds later.
var (
	// Refused proves that the log did nothing.
	Refused = errs.Class("refused by the log")
	// Fenced tells that the producer's epoch is not the newest one.
	Fenced = errs.Class("fenced by a newer epoch")
	// Conflict tells that the log did not end at the expected offset.
	Conflict = errs.Class("log has moved on")
	// NoOwner tells that a record did not reach the cell's owner, or that there
	// is none; the next one will take it.
	NoOwner = errs.Class("no owner")
	// NeverFits tells that a job is larger than any worker or than its team's
	// limit.
	NeverFits = errs.Class("never fits")
	// Truncated tells that records at the offset are no longer kept.
	Truncated = errs.Class("log is truncated")
)

// KeyedRecord is a record of a keyed log. Without a value it drops the key.
type KeyedRecord struct {
	Offset uint64
	Key    string
	Value  []byte
}

// Producer identifies the one process that may append under its name. Appends
// of a lower epoch than one seen before fail with Fenced; those of one epoch
// are numbered without gaps, and a repeated number has no second effect.
type Producer struct {
	Name     string
	Epoch    uint64
	Sequence uint64
}

// AppendOptions are the conditions of an append; the zero value has none.
type AppendOptions struct {
	Producer *Producer
	// EndsAt makes the append fail with Conflict unless the topic ends at the
	// offset.
	EndsAt *uint64
}

// KeyedBatch is the result of a read.
type KeyedBatch struct {
	Records []KeyedRecord
	End     uint64 // offset that the next append gets
}

// NewestPage is a part of the newest records by key. Pages are not a snapshot.
type NewestPage struct {
	Records []KeyedRecord
	More    bool
	End     uint64
}

// KeyedLog is a log of keyed records that keeps the newest record of each key
// for ever and the others for a while.
type KeyedLog interface {
	// Append adds the records, all or none, and returns the offset of the first.
	// Without records it only raises the producer's epoch.
	Append(ctx context.Context, topic string, records []KeyedRecord, options AppendOptions) (uint64, error)
	// Read returns records at or after from. It waits up to wait for the first.
	Read(ctx context.Context, topic string, from uint64, wait time.Duration) (KeyedBatch, error)
	// Newest returns the newest records of the keys that follow after.
	Newest(ctx context.Context, topic, after string) (NewestPage, error)
}
