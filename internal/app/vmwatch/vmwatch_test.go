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

// fakeList returns its answers in order and then repeats the last one. A nil
// answer is an error.
type fakeList struct{ answers [][]model.VM }

func (l *fakeList) List(context.Context) ([]model.VM, error) {
	answer := l.answers[0]
	if len(l.answers) > 1 {
		l.answers = l.answers[1:]
	}
	if answer == nil {
		return nil, errors.New("down")
	}
	return answer, nil
}

// TestOutageKeepsList guards against treating VMs as removed when the platform does
// not answer.
func TestOutageKeepsList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		entries := []model.VM{{Role: model.RoleEntry, Address: "a"}}
		c := New(&fakeList{answers: [][]model.VM{nil, {}, entries, nil}}, time.Second, logrus.NewEntry(logrus.New()))
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
