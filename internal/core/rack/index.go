package rack

import (
	"math/bits"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

const (
	levels          = 32 // steps of free processor and memory that the index tells apart
	maxClass        = 16 // free accelerators beyond this share one plane
	bucketScanLimit = 8  // workers weighed per cell before the search moves on
)

// index finds workers by free capacity. Workers of one failure domain lie in
// planes by free accelerators; a plane is a grid over free processor and free
// memory whose bitmaps skip empty cells. The cost of a search depends on the
// grid's size and not on the number of workers.
type index struct {
	scale  model.Resources // largest worker
	step   model.Resources // width of a cell
	planes [maxClass + 1]*plane
}

type plane struct {
	rows    uint32         // rows with a worker
	cols    [levels]uint32 // per row, cells with a worker
	buckets [levels][levels]*worker
}

func newIndex(scale model.Resources) *index {
	return &index{
		scale: scale,
		step: model.Resources{
			MilliCPU:  scale.MilliCPU/(levels-1) + 1,
			MemoryMiB: scale.MemoryMiB/(levels-1) + 1,
		},
	}
}

func (x *index) position(free model.Resources) (class, row, col int) {
	class = int(min(max(free.Accelerators, 0), maxClass))
	row = int(min(max(free.MilliCPU, 0)/x.step.MilliCPU, levels-1))
	col = int(min(max(free.MemoryMiB, 0)/x.step.MemoryMiB, levels-1))
	return class, row, col
}

func (x *index) insert(w *worker) {
	class, row, col := x.position(w.free)
	p := x.planes[class]
	if p == nil {
		p = &plane{}
		x.planes[class] = p
	}
	w.class, w.row, w.col, w.indexed = class, row, col, true
	w.prev, w.next = nil, p.buckets[row][col]
	if w.next != nil {
		w.next.prev = w
	}
	p.buckets[row][col] = w
	p.rows |= 1 << row
	p.cols[row] |= 1 << col
}

func (x *index) remove(w *worker) {
	p := x.planes[w.class]
	if w.prev != nil {
		w.prev.next = w.next
	} else {
		p.buckets[w.row][w.col] = w.next
	}
	if w.next != nil {
		w.next.prev = w.prev
	}
	w.prev, w.next, w.indexed = nil, nil, false
	if p.buckets[w.row][w.col] != nil {
		return
	}
	p.cols[w.row] &^= 1 << w.col
	if p.cols[w.row] == 0 {
		p.rows &^= 1 << w.row
	}
}

// move files the worker again after its free capacity changed.
func (x *index) move(w *worker) {
	class, row, col := x.position(w.free)
	if class == w.class && row == w.row && col == w.col {
		return
	}
	x.remove(w)
	x.insert(w)
}

// search is one best-fit query.
type query struct {
	size  model.Resources
	avoid []model.VMID
	best  *worker
	score float64
	// truncated is set when a cell held more workers than were weighed.
	truncated bool
	limit     int
}

// find returns the worker that the size fits best, or nil. Planes with fewer
// free accelerators come first, so that plain tasks leave accelerators alone.
func (x *index) find(size model.Resources, avoid []model.VMID) *worker {
	s := query{size: size, avoid: avoid, limit: bucketScanLimit}
	if x.scan(&s); s.best == nil && s.truncated {
		s.limit = int(^uint(0) >> 1)
		x.scan(&s)
	}
	return s.best
}

func (x *index) scan(s *query) {
	first, _, _ := x.position(s.size)
	for class := first; class <= maxClass && s.best == nil; class++ {
		if p := x.planes[class]; p != nil && p.rows != 0 {
			x.scanPlane(p, s)
		}
	}
}

func (x *index) scanPlane(p *plane, s *query) {
	_, row, col := x.position(s.size)
	for rows := p.rows >> row << row; rows != 0; rows &= rows - 1 {
		r := bits.TrailingZeros32(rows)
		if s.best != nil && x.minRowScore(r, s.size) >= s.score {
			return
		}
		for cols := p.cols[r] >> col << col; cols != 0; cols &= cols - 1 {
			c := bits.TrailingZeros32(cols)
			if s.best != nil && x.minColScore(c, s.size) >= s.score {
				break
			}
			x.scanBucket(p.buckets[r][c], s)
		}
	}
}

// rowFloor returns the least score that a worker of the row can have.
func (x *index) minRowScore(row int, size model.Resources) float64 {
	return model.Fraction(int64(row)*x.step.MilliCPU-size.MilliCPU, x.scale.MilliCPU)
}

func (x *index) minColScore(col int, size model.Resources) float64 {
	return model.Fraction(int64(col)*x.step.MemoryMiB-size.MemoryMiB, x.scale.MemoryMiB)
}

func (x *index) scanBucket(w *worker, s *query) {
	for n := 0; w != nil; w, n = w.next, n+1 {
		if n >= s.limit {
			s.truncated = true
			return
		}
		if !s.size.Fits(w.free) || contains(s.avoid, w.vm.ID) {
			continue
		}
		score := x.score(w.free, s.size)
		if s.best == nil || score < s.score || score == s.score && w.vm.ID < s.best.vm.ID {
			s.best, s.score = w, score
		}
	}
}

// score is the dominant fraction that the worker would have left.
func (x *index) score(free, size model.Resources) float64 {
	return max(
		model.Fraction(free.MilliCPU-size.MilliCPU, x.scale.MilliCPU),
		model.Fraction(free.MemoryMiB-size.MemoryMiB, x.scale.MemoryMiB),
	)
}

func contains(list []model.VMID, id model.VMID) bool {
	for _, v := range list {
		if v == id {
			return true
		}
	}
	return false
}
