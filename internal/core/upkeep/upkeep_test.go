package upkeep

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/core/policy"
)

const listDelay = 4 * time.Second

func testWave() (policy.Wave, map[string]Machine) {
	wave := policy.Wave{Name: "wave/1", Number: 1, Machines: []string{"a", "b", "c", "gone"}, MaxConcurrent: 1, Deadline: 40 * time.Second}
	machines := map[string]Machine{}
	for _, id := range []string{"a", "b", "c"} {
		machines[id] = Machine{ID: id, State: Up, Worker: model.VMID("w" + id)}
	}
	return wave, machines
}

func loads(tasks map[model.VMID]Load) func(model.VMID) Load {
	return func(id model.VMID) Load { return tasks[id] }
}

func TestLeastLoadedMachineGoesFirstOneAtATime(t *testing.T) {
	wave, machines := testWave()
	p := NewProgress(0)
	load := loads(map[model.VMID]Load{"wa": {Runs: 3}, "wc": {Runs: 1}})
	plan := Decide(wave, machines, load, p, listDelay, time.Second)
	assert.Equal(t, []string{"b"}, plan.Start)
	p.Orders["b"], p.Started["b"] = Order{SentAt: time.Second, Worker: "wb"}, true

	plan = Decide(wave, machines, load, p, listDelay, 2*time.Second)
	assert.Empty(t, plan.Start, "b may be unavailable though the list does not show it yet")
	assert.Equal(t, []model.VMID{"wc"}, plan.Drain)
	machines["b"] = Machine{ID: "b", State: InUpkeep}
	plan = Decide(wave, machines, loads(nil), p, listDelay, 7*time.Second)
	assert.Empty(t, plan.Start, "b is in upkeep")
	machines["b"] = Machine{ID: "b", State: Up, Worker: "wb2"}
	plan = Decide(wave, machines, loads(nil), p, listDelay, 3*time.Second)
	assert.Equal(t, []string{"c"}, plan.Start)
}

func TestWaitForMachineIsBounded(t *testing.T) {
	wave, machines := testWave()
	p := NewProgress(0)
	busy := loads(map[model.VMID]Load{"wa": {Runs: 1}, "wb": {Runs: 1}, "wc": {Runs: 1}})
	assert.Empty(t, Decide(wave, machines, busy, p, listDelay, 0).Start)
	assert.Len(t, Decide(wave, machines, busy, p, listDelay, 10*time.Second).Start, 1)

	p = NewProgress(0)
	protected := loads(map[model.VMID]Load{"wa": {Runs: 1, Protected: 1}, "wb": {Runs: 1, Protected: 1}, "wc": {Runs: 1, Protected: 1}})
	Decide(wave, machines, protected, p, listDelay, 0)
	assert.Empty(t, Decide(wave, machines, protected, p, listDelay, 30*time.Second).Start, "protected tasks must be moved first")
}

func TestWaveCompletesWhenAllListedMachinesHaveStarted(t *testing.T) {
	wave, machines := testWave()
	p := NewProgress(0)
	for _, id := range []string{"a", "b"} {
		p.Started[id] = true
	}
	assert.False(t, Decide(wave, machines, loads(nil), p, listDelay, time.Second).Completed)
	p.Started["c"] = true
	assert.True(t, Decide(wave, machines, loads(nil), p, listDelay, time.Second).Completed)
}
