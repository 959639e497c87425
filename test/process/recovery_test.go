package process

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

// Accepted jobs are on the log before their callers hear so: new VMs, which
// have nothing, find them there and adopt what the workers still run.
func TestAcceptedJobsSurviveTheLossOfAllEntryVMs(t *testing.T) {
	f := start(t, false)
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
	time.Sleep(outage)
	f.judge()
}

// Many operators take one failure domain out and back at the same time. The
// command that comes last must be what is in force, and work goes on.
func TestLastOfConcurrentCommandsTakesEffect(t *testing.T) {
	f := start(t, false)
	f.submit("batch", model.WorkBatch, 40)
	var wg sync.WaitGroup
	for n := range 6 {
		wg.Go(func() {
			command := "out"
			if n%2 == 0 {
				command = "back"
			}
			// Losing to another operator is an answer too.
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
	f.judge()
}
