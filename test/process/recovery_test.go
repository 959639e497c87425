package process

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

// An accepted job is on the log before its caller is answered. New VMs, which have
// no state, must read the jobs from the log and take over the tasks that the
// workers still run.
func TestAcceptedJobsSurviveTheLossOfAllEntryVMs(t *testing.T) {
	f := startCell(t, false)
	f.submit("batch", model.WorkBatch, 30)
	f.submit("gang", model.WorkGang, 4)
	time.Sleep(warmUp)
	lost := f.cluster.VMs()
	for _, vm := range lost {
		vm.Kill()
	}
	for _, vm := range lost {
		f.replace(vm)
	}
	f.submit("batch-2", model.WorkBatch, 10)
	time.Sleep(outageDuration)
	f.stopAndCheck()
}

// Several operators take one failure domain out of service and back at the same
// time. Afterwards the last command must be in force, and work must continue.
func TestLastOfConcurrentCommandsTakesEffect(t *testing.T) {
	f := startCell(t, false)
	f.submit("batch", model.WorkBatch, 40)
	var wg sync.WaitGroup
	for n := range 6 {
		wg.Go(func() {
			command := "out"
			if n%2 == 0 {
				command = "back"
			}
			// A conflict with another operator is allowed.
			_, _ = f.cluster.Ctl("domain", command, "guelmim")
		})
	}
	wg.Wait()
	_, err := f.cluster.Ctl("domain", "out", "guelmim")
	require.NoError(t, err)
	first, err := f.cluster.Ctl("domain", "list", "--output", "json")
	require.NoError(t, err)
	_, err = f.cluster.Ctl("domain", "back", "guelmim")
	require.NoError(t, err)
	second, err := f.cluster.Ctl("domain", "list", "--output", "json")
	require.NoError(t, err)
	assert.Contains(t, string(first), "guelmim")
	assert.NotEqual(t, string(first), string(second))
	time.Sleep(warmUp)
	f.stopAndCheck()
}
