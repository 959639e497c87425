package main

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against placement that leaves much more capacity free than the best of
// all assignments, and against a rack that places more than fits.
func TestRackFillsNearlyAsMuchAsExhaustiveSearch(t *testing.T) {
	const seeds, minRatio = 40, 0.97
	var p packingComparison
	for seed := range uint64(seeds) {
		require.NoError(t, compareWithExhaustive(guild, seed, &p))
	}
	assert.GreaterOrEqual(t, p.ratio, minRatio)
	assert.LessOrEqual(t, p.ratio, 1.0)
}

// Guards against a choice of racks and workers that fills the cell less than first
// fit does.
func TestCellFillsMoreThanFirstFitOnBothUsersMixes(t *testing.T) {
	const seeds = 5
	for _, u := range []user{guild, vestfjord} {
		for seed := range uint64(seeds) {
			sizes := drawMix(seed, u.workers, u.capacity)
			placed, err := packCell(sizes, u)
			require.NoError(t, err)
			total := u.capacity.Scale(int64(u.workers))
			require.True(t, placed.Fits(total))
			assert.Greater(t, filledFraction(placed, total), filledFraction(firstFit(sizes, u.workers, u.capacity), total))
		}
	}
}
