package callerlisten

import "sync/atomic"

// Budget bounds the memory of a process that is held for requests which are being read,
// in bytes. It is safe for concurrent use.
type Budget struct {
	limit int64
	held  atomic.Int64
}

// NewBudget returns a budget of the given number of bytes.
func NewBudget(limit int64) *Budget { return &Budget{limit: limit} }

// Reserve takes n bytes. It returns false and takes none if fewer are left.
func (b *Budget) Reserve(n int64) bool {
	if b.held.Add(n) > b.limit {
		b.held.Add(-n)
		return false
	}
	return true
}

// Release gives n reserved bytes back.
func (b *Budget) Release(n int64) { b.held.Add(-n) }

// Held returns the number of reserved bytes.
func (b *Budget) Held() int64 { return b.held.Load() }
