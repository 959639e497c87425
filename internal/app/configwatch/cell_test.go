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

// cell is a log and some members that follow it, on the bubble's time.
type cell struct {
	t     *testing.T
	ctx   context.Context
	log   *porttest.MemLog
	peers *porttest.Peers
	procs []*proc

	mu     sync.Mutex
	listed []string // addresses on the VM list
}

type proc struct {
	*Watcher
	address string
	log     *porttest.MemClient
	gate    *porttest.Gate
	asked   atomic.Int64 // questions of other members
}

// Serve answers the peer calls of the process.
func (p *proc) Serve(_ context.Context, request *peerpb.Request) *peerpb.Response {
	p.gate.Wait()
	p.asked.Add(1)
	return &peerpb.Response{Body: &peerpb.Response_Config{Config: p.Answer(request.GetConfigQuery())}}
}

func newCell(t *testing.T, members int) *cell {
	ctx, cancel := context.WithCancel(t.Context())
	c := &cell{t: t, ctx: ctx, log: porttest.NewMemLog(), peers: porttest.NewPeers()}
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

func quiet() *logrus.Entry {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return logrus.NewEntry(logger)
}

// start runs one more member.
func (c *cell) start() *proc {
	gate := &porttest.Gate{}
	p := &proc{address: fmt.Sprintf("member-%d", len(c.procs)), gate: gate, log: c.log.Client(gate)}
	p.Watcher = New(Options{
		Log:     p.log,
		Clock:   porttest.NewClock(gate, time.Duration(len(c.procs))*time.Hour, 0),
		Peer:    c.peers.Client(p.address, gate),
		Members: func() ([]string, bool) { return c.others(p.address), true },
		Logger:  quiet(),
	})
	c.mu.Lock()
	c.listed = append(c.listed, p.address)
	c.mu.Unlock()
	c.procs = append(c.procs, p)
	c.peers.Attach(p.address, p)
	go func() { _ = p.Run(c.ctx) }()
	return p
}

// others returns the listed addresses but one.
func (c *cell) others(self string) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(c.listed), func(a string) bool { return a == self })
}

// unlist takes the process's VM from the VM list.
func (c *cell) unlist(p *proc) {
	others := c.others(p.address)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.listed = others
}

// append puts a change on the log that replaces the newest revision.
func (c *cell) append(change config.Change) {
	data, err := change.Encode(ulid.Make().String(), c.log.Next(config.Stream))
	require.NoError(c.t, err)
	_, err = c.log.Append(c.ctx, config.Stream, [][]byte{data})
	require.NoError(c.t, err)
}

// issue publishes a team and returns its key and the key's id.
func (c *cell) issue() (string, config.KeyID) {
	id := ulid.Make()
	presented, hash, err := config.NewKey(id, bytes.NewReader(make([]byte, 32)))
	require.NoError(c.t, err)
	c.append(config.PublishTemplate(model.WorkspaceTemplate{Team: "quotes", Share: 1}))
	c.append(config.IssueKey("quotes", config.KeyID(id.String()), hash))
	return presented, config.KeyID(id.String())
}

// cut separates a from b in both directions.
func (c *cell) cut(a, b *proc) {
	c.peers.SetLinkDown(a.address, b.address, true)
	c.peers.SetLinkDown(b.address, a.address, true)
}

// isolate separates the process from all other members.
func (c *cell) isolate(p *proc) {
	for _, other := range c.procs {
		c.cut(p, other)
	}
}

// takes reports whether the process takes the key now.
func (p *proc) takes(key string) bool {
	view := p.View()
	_, ok := view.TeamOfKey(key)
	return ok && view.Fresh()
}

// fails makes all log calls of the process fail.
func (p *proc) fails() { p.log.SetFaults(porttest.Faults{Down: true}) }

// hangs makes all log reads of the process wait without an answer.
func (p *proc) hangs() { p.log.SetFaults(porttest.Faults{ReadDelay: time.Hour}) }
