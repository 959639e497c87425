package configwatch

import "github.com/balsamhitch/balsamhitch/internal/port"

// recent holds the last records, for members that cannot read the log. Its
// zero value is empty.
type recent struct {
	from    uint64 // revision before the first record
	records []port.Record
	bytes   int
}

// reset forgets all records; the next one follows the revision.
func (r *recent) reset(revision uint64) {
	*r = recent{from: revision}
}

// add appends a record and
// drops the oldest ones beyond the bound.
func (r *recent) add(record port.Record) {
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
func (r *recent) after(revision uint64) ([]port.Record, bool) {
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
