package vmlist

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/history"
)

func TestListLagsBehindChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var recorder history.Recorder
		l := New([]model.VM{{ID: "a"}, {ID: "b"}}, time.Second, &recorder, nil)
		assert.Len(t, l.VMs(), 2)
		assert.True(t, l.Set(StateChange{ID: "a", State: Gone}))
		assert.False(t, l.Set(StateChange{ID: "c", State: Gone}))
		time.Sleep(500 * time.Millisecond)
		assert.True(t, l.Set(StateChange{State: Live, VM: &model.VM{ID: "c"}}))
		time.Sleep(500*time.Millisecond - 1)
		assert.Len(t, l.VMs(), 2, "nothing shows before the lag")
		time.Sleep(time.Nanosecond)
		assert.Equal(t, []model.VM{{ID: "b"}}, l.VMs())
		time.Sleep(500 * time.Millisecond)
		assert.Equal(t, []model.VM{{ID: "b"}, {ID: "c"}}, l.VMs())
		assert.Len(t, recorder.Since(0), 2)
	})
}
