package dispatch

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
)

// After an urgent burst the headroom kept over half of the workers idle for seconds,
// while tasks waited that could run there (LOST).
func TestHeadroomAfterUrgentBurstLeavesWorkersToOthers(t *testing.T) {
	b := newBurstTest(t, 8, []Queue{urgentQueue, batchQueue}, []Team{{Name: "a"}, {Name: "b"}})
	for i := range 28 { // 56 of 64 places
		b.submit(fmt.Sprintf("urgent%02d", i), "a", urgentQueue, wideStep(2, 4000))
	}
	b.keepRunning("urgent")
	b.advance()
	b.advance()
	b.keepRunning("")
	for i := range 32 { // twice the workers' capacity
		b.submit(fmt.Sprintf("batch%02d", i), "b", batchQueue, wideStep(4, 4000))
	}
	b.advance()
	running := 0
	for _, orders := range b.running {
		running += len(orders)
	}
	assert.GreaterOrEqual(t, running, 32, "half of the places")
}
