package port

import (
	"context"
	"time"

	"github.com/zeebo/errs"
)

// Error classes of a keyed log. After any other error except NotStarted the
// outcome of an append is unknown; it may take effect seconds later.
//
// NoOwner and NeverFits are returned by the cell's owner for records that are
// sent to it, never by a log.
var (
	// Refused is returned if the log answered that it did not execute the call. Like
	// NotStarted, it proves that the call had no effect.
	Refused = errs.Class("refused by the log")
	// Fenced is returned if the log has seen a higher epoch of the producer.
	Fenced = errs.Class("fenced by a newer epoch")
	// Conflict is returned if the log does not end at the expected offset or the
	// producer's sequence number is not the next one.
	Conflict = errs.Class("log append conflict")
	// NoOwner is returned, together with NotStarted, if a record did not reach
	// the cell's owner or the cell has none. The record has no effect; the caller
	// may send it again to the next owner.
	NoOwner = errs.Class("no owner")
	// NeverFits is returned for a job with a task that fits no known kind of worker by
	// its size or label, or with a task or gang that exceeds the team's limit.
	NeverFits = errs.Class("never fits")
	// KeyedLogTruncated is returned if the log no longer keeps the records at the
	// offset. It is the counterpart of LogTruncated for reads of Log.
	KeyedLogTruncated = errs.Class("log is truncated")
)

// KeyedRecord is a record of a keyed log. A nil Value deletes the key.
type KeyedRecord struct {
	Offset uint64
	Key    string
	Value  []byte
}

// recordOverhead is more than the log adds to the key and the value of a record, in bytes.
const recordOverhead = 16

// Size returns what the record takes of the limit of an append, in bytes.
func (r *KeyedRecord) Size() int { return recordOverhead + len(r.Key) + len(r.Value) }

// Producer identifies the process that may append under a name. Appends with an
// epoch lower than the highest one seen fail with Fenced. Sequence numbers of an
// epoch have no gaps; an append with a repeated number is deduplicated.
type Producer struct {
	Name     string
	Epoch    uint64
	Sequence uint64
}

// AppendOptions are the conditions of an append; the zero value sets none.
type AppendOptions struct {
	Producer *Producer
	// EndsAt makes the append fail with Conflict unless the topic ends at the
	// offset.
	EndsAt *uint64
}

// KeyedBatch is the result of a read.
type KeyedBatch struct {
	Records []KeyedRecord
	End     uint64 // offset of the next append
}

// NewestPage is one page of the newest records by key. The pages together are
// not a consistent snapshot.
type NewestPage struct {
	Records []KeyedRecord
	More    bool
	End     uint64
}

// KeyedLog is a compacted log of keyed records. It retains the newest record of
// each key without limit and older ones for a limited time. A topic of it
// corresponds to a stream of Log; both are the platform's terms.
type KeyedLog interface {
	// Append atomically appends the records and returns the offset of the first.
	// Without records it only raises the producer's epoch. The log refuses records that
	// are larger together than its limit.
	Append(ctx context.Context, topic string, records []KeyedRecord, options AppendOptions) (uint64, error)
	// Read returns records with offsets of at least from. If there are none, it
	// waits for the first one for at most wait.
	Read(ctx context.Context, topic string, from uint64, wait time.Duration) (KeyedBatch, error)
	// Newest returns a page of the newest records of keys greater than after.
	Newest(ctx context.Context, topic, after string) (NewestPage, error)
}
