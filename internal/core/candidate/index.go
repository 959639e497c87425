package candidate

import (
	"math"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

// bucketCount is the number of buckets of a freeIndex.
const bucketCount = 17

// freeIndex groups racks into buckets by their largest free fraction: the
// fraction of the largest VM that one worker of the rack has free in every
// dimension.
type freeIndex struct {
	buckets [bucketCount][]*rackEntry
	count   int
	largest model.Resources // per dimension, over all racks ever inserted
}

// indexPosition is the location of a rack in a freeIndex.
type indexPosition struct {
	freeIndex      *freeIndex
	accelerators   bool
	bucket, offset int
}

// minFittingBucket returns the lowest bucket whose racks are certain to fit the size.
func minFittingBucket(size, largest model.Resources) int {
	return int(math.Ceil(size.DominantShare(largest) * (bucketCount - 1)))
}

// bucketOf returns the bucket for the rack's current free capacity.
func (e *rackEntry) bucketOf(p *indexPosition) int {
	most := 0.0
	for _, free := range e.FreeShapes {
		most = max(most, minFreeFraction(free, p.freeIndex.largest, p.accelerators))
	}
	return int(most * (bucketCount - 1))
}

// minFreeFraction returns the fraction of largest that is free in every
// dimension. Accelerators count only if the flag is set.
func minFreeFraction(free, largest model.Resources, accelerators bool) float64 {
	least := min(fraction(free.MilliCPU, largest.MilliCPU), fraction(free.MemoryMiB, largest.MemoryMiB))
	if accelerators {
		least = min(least, fraction(free.Accelerators, largest.Accelerators))
	}
	return least
}

func fraction(part, whole int64) float64 {
	if whole <= 0 {
		return 1
	}
	return min(max(float64(part)/float64(whole), 0), 1)
}

func (e *rackEntry) insert(i int) {
	p := &e.positions[i]
	p.freeIndex.largest = p.freeIndex.largest.Max(e.LargestVM)
	p.bucket = e.bucketOf(p)
	p.offset = len(p.freeIndex.buckets[p.bucket])
	p.freeIndex.buckets[p.bucket] = append(p.freeIndex.buckets[p.bucket], e)
	p.freeIndex.count++
}

func (e *rackEntry) remove(i int) {
	p := &e.positions[i]
	racks := p.freeIndex.buckets[p.bucket]
	last := racks[len(racks)-1]
	racks[p.offset] = last
	last.positionIn(p.freeIndex).offset = p.offset
	racks[len(racks)-1] = nil
	p.freeIndex.buckets[p.bucket] = racks[:len(racks)-1]
	p.freeIndex.count--
}

// reindex moves the rack to the buckets for its current free capacity.
func (e *rackEntry) reindex() {
	for i := range e.positions {
		if e.bucketOf(&e.positions[i]) != e.positions[i].bucket {
			e.remove(i)
			e.insert(i)
		}
	}
}

func (e *rackEntry) positionIn(x *freeIndex) *indexPosition {
	for i := range e.positions {
		if e.positions[i].freeIndex == x {
			return &e.positions[i]
		}
	}
	return nil
}

// at returns the i-th rack over all buckets, or nil if there are fewer.
func (x *freeIndex) at(i int) *rackEntry {
	for _, racks := range x.buckets {
		if i < len(racks) {
			return racks[i]
		}
		i -= len(racks)
	}
	return nil
}
