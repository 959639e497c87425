// Package vmwatch keeps the last VM list that the platform told.
package vmwatch

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/port"
)

// listTimeout bounds one read of the VM list.
const listTimeout = 2 * time.Second

// Cache is the last read VM list. It is safe for concurrent use.
type Cache struct {
	list   port.VMList
	every  time.Duration
	logger *logrus.Entry
	vms    atomic.Pointer[[]model.VM] // nil until the first read
}

// New returns a cache that Run reads anew in the given interval.
func New(list port.VMList, every time.Duration, logger *logrus.Entry) *Cache {
	return &Cache{list: list, every: every, logger: logger.WithField("part", "vmlist")}
}

// Run reads the list until the context ends. While the platform does not
// answer, the former list stands.
func (c *Cache) Run(ctx context.Context) {
	ticker := time.NewTicker(c.every)
	defer ticker.Stop()
	for {
		c.refresh(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (c *Cache) refresh(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	vms, err := c.list.List(ctx)
	if err != nil {
		c.logger.WithError(err).Debug("VM list was not read.")
		return
	}
	c.vms.Store(&vms)
}

// VMs returns the last read list, which callers must not change, and whether
// there is one.
func (c *Cache) VMs() ([]model.VM, bool) {
	vms := c.vms.Load()
	if vms == nil {
		return nil, false
	}
	return *vms, true
}
