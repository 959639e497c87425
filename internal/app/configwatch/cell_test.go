package configwatch

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/balsamhitch/balsamhitch/internal/core/config"
	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/pb/peerpb"
	"github.com/balsamhitch/balsamhitch/internal/port/porttest"
)

// testCell is a log and the members that follow it, on the fake clock of a
// synctest bubble.
type testCell struct {
	t     *testing.T
	ctx   context.Context
	log   *porttest.MemLog
	peers *porttest.Peers
	procs []*proc

	mu     sync.Mutex
	vmList []string // addresses
}

type proc struct {
	*Watcher
	address string
	log     *porttest.MemClient
	gate    *porttest.Gate
	queries atomic.Int64 // queries received from other members
}

// Serve answers the peer calls of the process.
func (p *proc) Serve(_ context.Context, request *peerpb.Request) *peerpb.Response {
	p.gate.Wait()
	p.queries.Add(1)
	return &peerpb.Response{Body: &peerpb.Response_Config{Config: p.Answer(request.GetConfigQuery())}}
}

func newCell(t *testing.T, members int) *testCell {
	ctx, cancel := context.WithCancel(t.Context())
	c := &testCell{t: t, ctx: ctx, log: porttest.NewMemLog(), peers: porttest.NewPeers()}
	t.Cleanup(func() {
		for _, p := range c.procs {
			p.gate.Open()
		}
		cancel()
		synctest.Wait()
	})
	for range members {
		c.start()
	}
	return c
}

func discardLogger() *logrus.Entry {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return logrus.NewEntry(logger)
}

// start adds and runs one more member.
func (c *testCell) start() *proc {
	gate := &porttest.Gate{}
	p := &proc{address: fmt.Sprintf("member-%d", len(c.procs)), gate: gate, log: c.log.Client(gate)}
	p.Watcher = New(Options{
		Log:     p.log,
		Clock:   porttest.NewClock(gate, time.Duration(len(c.procs))*time.Hour, 0),
		Peer:    c.peers.Client(p.address, gate),
		Members: func() ([]string, bool) { return c.others(p.address), true },
		Logger:  discardLogger(),
	})
	c.mu.Lock()
	c.vmList = append(c.vmList, p.address)
	c.mu.Unlock()
	c.procs = append(c.procs, p)
	c.peers.Attach(p.address, p)
	go func() { _ = p.Run(c.ctx) }()
	return p
}

// others returns the addresses on the VM list except self.
func (c *testCell) others(self string) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(c.vmList), func(a string) bool { return a == self })
}

// removeFromVMList removes the process's VM from the VM list.
func (c *testCell) removeFromVMList(p *proc) {
	others := c.others(p.address)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.vmList = others
}

// append appends a change whose base revision is the newest one.
func (c *testCell) append(change config.Change) {
	data, err := change.Encode(ulid.Make().String(), c.log.Next(config.Stream))
	require.NoError(c.t, err)
	_, err = c.log.Append(c.ctx, config.Stream, [][]byte{data})
	require.NoError(c.t, err)
}

// issueKey publishes a template and a key of one team. It returns the key and the
// key's id.
func (c *testCell) issueKey() (string, config.KeyID) {
	id := ulid.Make()
	presented, hash, err := config.NewKey(id, bytes.NewReader(make([]byte, 32)))
	require.NoError(c.t, err)
	c.append(config.PublishTemplate(model.WorkspaceTemplate{Team: "quotes", ShareWeight: 1}))
	c.append(config.IssueKey("quotes", config.KeyID(id.String()), hash))
	return presented, config.KeyID(id.String())
}

// disconnect cuts the link between a and b in both directions.
func (c *testCell) disconnect(a, b *proc) {
	c.peers.SetLinkDown(a.address, b.address, true)
	c.peers.SetLinkDown(b.address, a.address, true)
}

// isolate disconnects the process from all other members.
func (c *testCell) isolate(p *proc) {
	for _, other := range c.procs {
		c.disconnect(p, other)
	}
}

// accepts reports whether the process accepts the key now.
func (p *proc) accepts(key string) bool {
	view := p.View()
	_, ok := view.TeamOfKey(key)
	return ok && view.Fresh()
}

// failLog makes all log calls of the process fail.
func (p *proc) failLog() { p.log.SetFaults(porttest.Faults{Down: true}) }

// hangLogReads delays all log reads of the process beyond their timeout.
func (p *proc) hangLogReads() { p.log.SetFaults(porttest.Faults{ReadDelay: time.Hour}) }
