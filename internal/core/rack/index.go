package rack

import (
	"math"
	"math/bits"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

const (
	levels          = 32 // rows and columns of a plane
	maxPlane        = 16 // index of the plane for this many free accelerators or more
	bucketScanLimit = 8  // workers scored per bucket before the search moves on
)

// index finds workers of one failure domain by free capacity. They are divided
// into planes by free accelerators; a plane is a grid of buckets. Its rows stand
// for free processors, its columns for free memory, and bitmaps allow a search to
// skip empty buckets. The cost of a search depends on the grid's size and not on
// the number of workers.
type index struct {
	scale  model.Resources // largest capacity per dimension
	step   model.Resources // width of a bucket per dimension
	planes [maxPlane + 1]*plane
}

type plane struct {
	rows    uint32         // bitmap of the rows with a worker
	cols    [levels]uint32 // per row, bitmap of the buckets with a worker
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

// position returns the plane, row and column of a worker with this free capacity.
func (x *index) position(free model.Resources) (planeIndex, row, col int) {
	planeIndex = int(min(max(free.Accelerators, 0), maxPlane))
	row = int(min(max(free.MilliCPU, 0)/x.step.MilliCPU, levels-1))
	col = int(min(max(free.MemoryMiB, 0)/x.step.MemoryMiB, levels-1))
	return planeIndex, row, col
}

func (x *index) insert(w *worker) {
	planeIndex, row, col := x.position(w.free)
	p := x.planes[planeIndex]
	if p == nil {
		p = &plane{}
		x.planes[planeIndex] = p
	}
	w.planeIndex, w.row, w.col, w.indexed = planeIndex, row, col, true
	w.prev, w.next = nil, p.buckets[row][col]
	if w.next != nil {
		w.next.prev = w
	}
	p.buckets[row][col] = w
	p.rows |= 1 << row
	p.cols[row] |= 1 << col
}

func (x *index) remove(w *worker) {
	p := x.planes[w.planeIndex]
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

// move puts the worker into the bucket of its current free capacity.
func (x *index) move(w *worker) {
	planeIndex, row, col := x.position(w.free)
	if planeIndex == w.planeIndex && row == w.row && col == w.col {
		return
	}
	x.remove(w)
	x.insert(w)
}

// query is one best-fit search.
type query struct {
	size  model.Resources
	avoid []model.VMID
	best  *worker
	score float64
	// truncated is set when a bucket held more workers than limit.
	truncated bool
	limit     int
}

// find returns the worker that the size fits best, or nil. It scores up to
// bucketScanLimit workers per bucket, and all workers only if the size fits none of
// those. Planes with fewer free accelerators are searched first, so that tasks
// without accelerators do not occupy workers that have them.
func (x *index) find(size model.Resources, avoid []model.VMID) *worker {
	q := query{size: size, avoid: avoid, limit: bucketScanLimit}
	if x.scan(&q); q.best == nil && q.truncated {
		q.limit = math.MaxInt
		x.scan(&q)
	}
	return q.best
}

func (x *index) scan(q *query) {
	first, _, _ := x.position(q.size)
	for planeIndex := first; planeIndex <= maxPlane && q.best == nil; planeIndex++ {
		if p := x.planes[planeIndex]; p != nil && p.rows != 0 {
			x.scanPlane(p, q)
		}
	}
}

func (x *index) scanPlane(p *plane, q *query) {
	_, row, col := x.position(q.size)
	for rows := p.rows >> row << row; rows != 0; rows &= rows - 1 {
		r := bits.TrailingZeros32(rows)
		if q.best != nil && x.minRowScore(r, q.size) >= q.score {
			return
		}
		for cols := p.cols[r] >> col << col; cols != 0; cols &= cols - 1 {
			c := bits.TrailingZeros32(cols)
			if q.best != nil && x.minColScore(c, q.size) >= q.score {
				break
			}
			x.scanBucket(p.buckets[r][c], q)
		}
	}
}

// minRowScore returns a lower bound of the scores of a row's workers.
func (x *index) minRowScore(row int, size model.Resources) float64 {
	return model.Fraction(int64(row)*x.step.MilliCPU-size.MilliCPU, x.scale.MilliCPU)
}

// minColScore returns a lower bound of the scores of a column's workers.
func (x *index) minColScore(col int, size model.Resources) float64 {
	return model.Fraction(int64(col)*x.step.MemoryMiB-size.MemoryMiB, x.scale.MemoryMiB)
}

func (x *index) scanBucket(w *worker, q *query) {
	for n := 0; w != nil; w, n = w.next, n+1 {
		if n >= q.limit {
			q.truncated = true
			return
		}
		if !q.size.Fits(w.free) || contains(q.avoid, w.vm.ID) {
			continue
		}
		score := x.score(w.free, q.size)
		if q.best == nil || score < q.score || score == q.score && w.vm.ID < q.best.vm.ID {
			q.best, q.score = w, score
		}
	}
}

// score returns the larger of the fractions of processors and memory that the
// worker would have left. The lowest score is the best fit.
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
