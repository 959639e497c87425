// Package vmwatch caches the platform's VM list and refreshes it periodically.
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

// Cache holds the last VM list that was read. It is safe for concurrent use.
type Cache struct {
	list     port.VMList
	interval time.Duration
	logger   *logrus.Entry
	vms      atomic.Pointer[[]model.VM] // nil until the first read
}

// New returns an empty cache, which Run refreshes at the interval.
func New(list port.VMList, interval time.Duration, logger *logrus.Entry) *Cache {
	return &Cache{list: list, interval: interval, logger: logger.WithField("part", "vmlist")}
}

// Run refreshes the list until the context is done. If a read fails, the cache keeps
// the previous list.
func (c *Cache) Run(ctx context.Context) {
	ticker := time.NewTicker(c.interval)
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
		c.logger.WithError(err).Debug("VM list read failed; keeping the previous list")
		return
	}
	c.vms.Store(&vms)
}

// VMs returns the last list that was read, or false if none was read yet. Callers
// must not change the list.
func (c *Cache) VMs() ([]model.VM, bool) {
	vms := c.vms.Load()
	if vms == nil {
		return nil, false
	}
	return *vms, true
}
