package main

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards: what the rack fills is compared with every possible assignment; the
// rack can't fill more, and must not fill much less.
func TestRackFillsNearlyAsMuchAsExhaustiveSearch(t *testing.T) {
	const seeds, least = 40, 0.97
	var p packing
	for seed := range uint64(seeds) {
		require.NoError(t, packSmall(guild, seed, &p))
	}
	assert.GreaterOrEqual(t, p.ratio, least)
	assert.LessOrEqual(t, p.ratio, 1.0)
}

func TestCellFillsMoreThanFirstFitOnBothUsersMixes(t *testing.T) {
	const seeds = 5
	for _, u := range []user{guild, vestfjord} {
		for seed := range uint64(seeds) {
			sizes := drawMix(seed, u.workers, u.capacity)
			placed, err := packCell(sizes, u)
			require.NoError(t, err)
			total := u.capacity.Scale(int64(u.workers))
			require.True(t, placed.Fits(total))
			assert.Greater(t, filled(placed, total), filled(firstFit(sizes, u.workers, u.capacity), total))
		}
	}
}
