package model

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestFitsChecksEveryDimension(t *testing.T) {
	capacity := Resources{MilliCPU: 4000, MemoryMiB: 1024, Accelerators: 1, Slots: 8}
	assert.True(t, capacity.Fits(capacity))
	assert.False(t, Resources{MilliCPU: 4001}.Fits(capacity))
	assert.False(t, Resources{Accelerators: 2}.Fits(capacity))
}

func TestDominantShareIgnoresMissingDimensions(t *testing.T) {
	total := Resources{MilliCPU: 1000, MemoryMiB: 100}
	used := Resources{MilliCPU: 100, MemoryMiB: 50, Accelerators: 3}
	assert.InDelta(t, 0.5, used.DominantShare(total), 1e-9)
}

func TestPartitionNames(t *testing.T) {
	p := TargetsPartition("quotes", "marrakech-1")
	assert.Equal(t, KindTargets, p.Kind())
	assert.Equal(t, "quotes/marrakech-1", p.Name())
}
