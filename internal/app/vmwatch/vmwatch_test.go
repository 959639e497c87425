package vmwatch

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/assert"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

type list struct{ answers [][]model.VM } // nil for an error; the last one stays

func (l *list) List(context.Context) ([]model.VM, error) {
	answer := l.answers[0]
	if len(l.answers) > 1 {
		l.answers = l.answers[1:]
	}
	if answer == nil {
		return nil, errors.New("down")
	}
	return answer, nil
}

// TestOutageKeepsTheList guards VMs that would be taken for gone because the
// platform does not answer.
func TestOutageKeepsTheList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		entries := []model.VM{{Role: model.RoleEntry, Address: "a"}}
		c := New(&list{answers: [][]model.VM{nil, {}, entries, nil}}, time.Second, logrus.NewEntry(logrus.New()))
		ctx, cancel := context.WithCancel(t.Context())
		go c.Run(ctx)
		for _, want := range []struct {
			vms  []model.VM
			read bool
		}{{nil, false}, {[]model.VM{}, true}, {entries, true}, {entries, true}} {
			synctest.Wait()
			vms, read := c.VMs()
			assert.Equal(t, want.read, read)
			assert.Equal(t, want.vms, vms)
			time.Sleep(time.Second)
		}
		cancel()
	})
}
