package entry

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/balsamhitch/balsamhitch/internal/adapter/settings"
	"github.com/balsamhitch/balsamhitch/internal/adapter/sysclock"
	"github.com/balsamhitch/balsamhitch/internal/app/host"
	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/pb/convert"
	"github.com/balsamhitch/balsamhitch/internal/pb/peerpb"
	"github.com/balsamhitch/balsamhitch/internal/port"
	"github.com/balsamhitch/balsamhitch/internal/port/porttest"
)

const (
	saddleTeam  = model.TeamID("saddle")
	quotesGroup = model.PartitionID("targets/quotes/g")
	goodKey     = "bh_saddle"
	groupEpoch  = 5
)

// testCell stands in for the rest of the cell: the configuration and the owners of
// a team and of a target group, whose answers each test chooses.
type testCell struct {
	t     *testing.T
	entry *Server
	peers *porttest.Peers

	mu               sync.Mutex
	stale            bool
	staleAfterLookup bool // the configuration becomes stale during TeamOfKey
	templates        map[model.TeamID]model.WorkspaceTemplate
	keys             map[string]model.TeamID
	owners           map[model.PartitionID]owner
	admit            func(n int, call *peerpb.AdmitQuick) *peerpb.AdmitQuickReply
	execute          func(n int, call *peerpb.ExecuteQuick) *peerpb.ExecuteQuickReply
	submit           func(n int, job *peerpb.Job) *peerpb.SubmitJobReply
	admits           []*peerpb.AdmitQuick
	executes         []*peerpb.ExecuteQuick
	submits          []*peerpb.Job
	finishes         []*peerpb.FinishQuick
}

type owner struct {
	address string
	epoch   model.Epoch
}

func newTestCell(t *testing.T, change func(*settings.Entry)) *testCell {
	c := &testCell{
		t:     t,
		peers: porttest.NewPeers(),
		templates: map[model.TeamID]model.WorkspaceTemplate{
			saddleTeam: {Team: saddleTeam, Kinds: []model.WorkKind{model.WorkQuick, model.WorkBatch}, Services: []model.ServiceID{"quotes"}},
			"souk":     {Team: "souk", Kinds: []model.WorkKind{model.WorkQuick}, Services: []model.ServiceID{"quotes", "fit"}, Open: true},
			"other":    {Team: "other"},
		},
		keys: map[string]model.TeamID{goodKey: saddleTeam, "bh_other": "other"},
		owners: map[model.PartitionID]owner{
			model.TeamPartition(saddleTeam): {"team", 1},
			model.TeamPartition("souk"):     {"team", 1},
			quotesGroup:                     {"group", groupEpoch},
		},
		admit: func(int, *peerpb.AdmitQuick) *peerpb.AdmitQuickReply { return permitted() },
		execute: func(_ int, call *peerpb.ExecuteQuick) *peerpb.ExecuteQuickReply {
			return ended(call, model.OutcomeDone)
		},
		submit: func(_ int, job *peerpb.Job) *peerpb.SubmitJobReply { return &peerpb.SubmitJobReply{JobId: job.GetId()} },
	}
	c.peers.Attach("team", c)
	c.peers.Attach("group", c)
	set := settings.DefaultEntry()
	set.Listen = "127.0.0.1:0"
	if change != nil {
		change(&set)
	}
	var err error
	c.entry, err = Start(Options{
		Settings: set, Directory: c, ConfigSnapshot: func() ConfigSnapshot { return c }, Peer: c.peers.Client("entry", nil), Clock: sysclock.Clock{},
	})
	require.NoError(t, err)
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
		defer cancel()
		assert.NoError(t, c.entry.Shutdown(ctx))
	})
	return c
}

func (c *testCell) Owner(p model.PartitionID) (string, model.Epoch, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	o, ok := c.owners[p]
	return o.address, o.epoch, ok
}

func (c *testCell) Fresh() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.stale
}

func (c *testCell) TeamOfKey(key string) (model.TeamID, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stale = c.stale || c.staleAfterLookup
	team, ok := c.keys[key]
	return team, ok
}

func (c *testCell) Template(team model.TeamID) (model.WorkspaceTemplate, bool) {
	template, ok := c.templates[team]
	return template, ok
}

// Serve answers as the owner of all partitions.
func (c *testCell) Serve(_ context.Context, message *peerpb.Request) *peerpb.Response {
	c.mu.Lock()
	switch body := message.GetBody().(type) {
	case *peerpb.Request_AdmitQuick:
		c.admits = append(c.admits, body.AdmitQuick)
		answer, n := c.admit, len(c.admits)
		c.mu.Unlock()
		return &peerpb.Response{Body: &peerpb.Response_AdmitQuick{AdmitQuick: answer(n, body.AdmitQuick)}}
	case *peerpb.Request_ExecuteQuick:
		c.executes = append(c.executes, body.ExecuteQuick)
		answer, n := c.execute, len(c.executes)
		c.mu.Unlock()
		return &peerpb.Response{Body: &peerpb.Response_ExecuteQuick{ExecuteQuick: answer(n, body.ExecuteQuick)}}
	case *peerpb.Request_SubmitJob:
		c.submits = append(c.submits, body.SubmitJob.GetJob())
		answer, n := c.submit, len(c.submits)
		c.mu.Unlock()
		return &peerpb.Response{Body: &peerpb.Response_SubmitJob{SubmitJob: answer(n, body.SubmitJob.GetJob())}}
	case *peerpb.Request_FinishQuick:
		c.finishes = append(c.finishes, body.FinishQuick)
		c.mu.Unlock()
		return host.Ack(nil)
	default:
		c.mu.Unlock()
		return &peerpb.Response{Body: &peerpb.Response_JobStatus{JobStatus: &peerpb.JobStatus{
			Job: &peerpb.Job{Id: message.GetGetJob().GetJobId(), Team: string(saddleTeam)}, State: "running",
		}}}
	}
}

func permitted() *peerpb.AdmitQuickReply {
	return &peerpb.AdmitQuickReply{Permit: &peerpb.Permit{Id: "p", Team: string(saddleTeam), Partition: string(quotesGroup), PartitionEpoch: groupEpoch}}
}

func refused(reason peerpb.Refusal_Reason) *peerpb.AdmitQuickReply {
	return &peerpb.AdmitQuickReply{Refusal: convert.NewRefusal(reason, "refused by the test")}
}

func ended(call *peerpb.ExecuteQuick, outcome model.Outcome) *peerpb.ExecuteQuickReply {
	reply := &peerpb.ExecuteQuickReply{RequestId: call.GetRequestId(), Attempt: call.GetAttempt(), Outcome: string(outcome)}
	switch outcome {
	case model.OutcomeDone, model.OutcomeFailed:
		reply.Answer = &peerpb.Answer{Status: 203, ContentType: "text/x-quote", Body: append([]byte("quote for "), call.GetBody()...)}
	default:
		reply.Refusal = convert.NewRefusal(peerpb.Refusal_UNAVAILABLE, "refused by the test")
	}
	return reply
}

func (c *testCell) set(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f()
}

func (c *testCell) sends() []*peerpb.ExecuteQuick {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.executes)
}

// reply is an answer as a caller receives it.
type reply struct {
	status  int
	header  http.Header
	body    string
	problem problem
}

// do sends a request as a caller; header holds "Name: value" lines.
func (c *testCell) do(method, path, body string, header ...string) reply {
	c.t.Helper()
	got, err := c.try(method, path, body, header...)
	require.NoError(c.t, err)
	return got
}

func (c *testCell) try(method, path, body string, header ...string) (reply, error) {
	request, err := http.NewRequest(method, "http://"+c.entry.Address()+path, strings.NewReader(body))
	if err != nil {
		return reply{}, err
	}
	for _, line := range header {
		name, value, _ := strings.Cut(line, ": ")
		request.Header.Set(name, value)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return reply{}, err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	got := reply{status: response.StatusCode, header: response.Header, body: string(data)}
	if response.Header.Get("Content-Type") == problemContentType {
		require.NoError(c.t, json.Unmarshal(data, &got.problem))
		assert.Equal(c.t, got.status, got.problem.Status)
	}
	return got, err
}

const auth = "Authorization: Bearer " + goodKey

func (c *testCell) requestQuote(header ...string) reply {
	c.t.Helper()
	return c.do(http.MethodPost, "/v1/workspaces/saddle/requests", "hump", append(header, auth)...)
}

// raw calls send with a plain connection and returns everything that it receives
// until the entry closes the connection.
func (c *testCell) raw(send func(conn net.Conn)) string {
	conn, err := net.Dial("tcp", c.entry.Address())
	require.NoError(c.t, err)
	defer func() { _ = conn.Close() }()
	go send(conn)
	_ = conn.SetReadDeadline(time.Now().Add(time.Minute))
	data, err := io.ReadAll(conn)
	require.NoError(c.t, err, "the entry must close the connection")
	return string(data)
}

var _ port.PeerHandler = (*testCell)(nil)
