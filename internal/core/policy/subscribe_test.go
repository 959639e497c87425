package policy

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against a subscriber that takes the changes from another one, and one that is
// called after its end.
func TestEachSubscriberIsCalledUntilItCancels(t *testing.T) {
	var c Current
	first, second := 0, 0
	cancel := c.Subscribe(func() { first++ })
	defer c.Subscribe(func() { second++ })()
	assert.True(t, c.Set(&Snapshot{Version: 2}))
	assert.False(t, c.Set(&Snapshot{Version: 1}))
	cancel()
	assert.True(t, c.Set(&Snapshot{Version: 2}))
	assert.Equal(t, []int{1, 2}, []int{first, second})
}
