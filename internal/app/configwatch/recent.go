package configwatch

import "github.com/balsamhitch/balsamhitch/internal/port"

// recentRecords buffers the latest records for members that cannot read the log.
// Its zero value is empty. It is not safe for concurrent use.
type recentRecords struct {
	from    uint64 // revision before the first record
	records []port.Record
	bytes   int
}

// reset drops all records; the next one to be added follows the revision.
func (r *recentRecords) reset(revision uint64) {
	*r = recentRecords{from: revision}
}

// add appends a record and drops the oldest ones beyond recentBytes.
func (r *recentRecords) add(record port.Record) {
	r.records = append(r.records, record)
	r.bytes += len(record.Data)
	for r.bytes > recentBytes {
		oldest := r.records[0]
		r.records = r.records[1:]
		r.bytes -= len(oldest.Data)
		r.from = oldest.Offset + 1
	}
}

// after returns the records that follow the revision, or false if some of
// them were dropped.
func (r *recentRecords) after(revision uint64) ([]port.Record, bool) {
	if revision < r.from {
		return nil, false
	}
	for i, record := range r.records {
		if record.Offset >= revision {
			return r.records[i:], true
		}
	}
	return nil, true
}
