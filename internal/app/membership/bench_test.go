package membership

import (
	"testing"
	"time"

	"github.com/balsamhitch/balsamhitch/internal/adapter/sysclock"
	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/core/ownership"
	"github.com/balsamhitch/balsamhitch/internal/port/porttest"
)

func BenchmarkMayAct(b *testing.B) {
	clock := sysclock.Clock{}
	m := New(Options{ID: "m", Log: porttest.NewMemLog(), Clock: clock})
	m.published.Store(&leaseSnapshot{
		held:      ownership.OwnedPartitions{model.SystemPartition: 1},
		logExpiry: clock.Now() + time.Hour,
	})
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if !m.MayAct(model.SystemPartition, 1) {
				b.Fail()
			}
		}
	})
}
