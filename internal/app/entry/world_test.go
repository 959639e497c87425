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
	saddle     = model.TeamID("saddle")
	quotes     = model.PartitionID("targets/quotes/g")
	goodKey    = "bh_saddle"
	groupEpoch = 5
)

// world is the rest of the cell as the entry sees it: its configuration, a
// team's owner and a target group's owner whose answers each test chooses.
type world struct {
	t     *testing.T
	entry *Server
	peers *porttest.Peers

	mu        sync.Mutex
	stale     bool
	stops     bool // the process stops for long while it checks a key
	templates map[model.TeamID]model.WorkspaceTemplate
	keys      map[string]model.TeamID
	owners    map[model.PartitionID]owner
	admit     func(n int, call *peerpb.AdmitQuick) *peerpb.AdmitQuickReply
	execute   func(n int, call *peerpb.ExecuteQuick) *peerpb.ExecuteQuickReply
	submit    func(n int, job *peerpb.Job) *peerpb.SubmitJobReply
	admits    []*peerpb.AdmitQuick
	executes  []*peerpb.ExecuteQuick
	submits   []*peerpb.Job
	finishes  []*peerpb.FinishQuick
}

type owner struct {
	address string
	epoch   model.Epoch
}

func newWorld(t *testing.T, change func(*settings.Entry)) *world {
	w := &world{
		t:     t,
		peers: porttest.NewPeers(),
		templates: map[model.TeamID]model.WorkspaceTemplate{
			saddle:  {Team: saddle, Kinds: []model.WorkKind{model.WorkQuick, model.WorkBatch}, Services: []model.ServiceID{"quotes"}},
			"souk":  {Team: "souk", Kinds: []model.WorkKind{model.WorkQuick}, Services: []model.ServiceID{"quotes", "fit"}, Open: true},
			"other": {Team: "other"},
		},
		keys: map[string]model.TeamID{goodKey: saddle, "bh_other": "other"},
		owners: map[model.PartitionID]owner{
			model.TeamPartition(saddle): {"team", 1},
			model.TeamPartition("souk"): {"team", 1},
			quotes:                      {"group", groupEpoch},
		},
		admit: func(int, *peerpb.AdmitQuick) *peerpb.AdmitQuickReply { return permitted() },
		execute: func(_ int, call *peerpb.ExecuteQuick) *peerpb.ExecuteQuickReply {
			return ended(call, model.OutcomeDone)
		},
		submit: func(_ int, job *peerpb.Job) *peerpb.SubmitJobReply { return &peerpb.SubmitJobReply{JobId: job.GetId()} },
	}
	w.peers.Attach("team", w)
	w.peers.Attach("group", w)
	set := settings.DefaultEntry()
	set.Listen = "127.0.0.1:0"
	if change != nil {
		change(&set)
	}
	var err error
	w.entry, err = Start(Options{
		Settings: set, Directory: w, ConfigSnapshot: func() ConfigSnapshot { return w }, Peer: w.peers.Client("entry", nil), Clock: sysclock.Clock{},
	})
	require.NoError(t, err)
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
		defer cancel()
		assert.NoError(t, w.entry.Shutdown(ctx))
	})
	return w
}

func (w *world) Owner(p model.PartitionID) (string, model.Epoch, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	o, ok := w.owners[p]
	return o.address, o.epoch, ok
}

func (w *world) Fresh() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.stale
}

func (w *world) TeamOfKey(key string) (model.TeamID, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stale = w.stale || w.stops
	team, ok := w.keys[key]
	return team, ok
}

func (w *world) Template(team model.TeamID) (model.WorkspaceTemplate, bool) {
	template, ok := w.templates[team]
	return template, ok
}

// Serve answers as the owner of all partitions.
func (w *world) Serve(_ context.Context, message *peerpb.Request) *peerpb.Response {
	w.mu.Lock()
	switch body := message.GetBody().(type) {
	case *peerpb.Request_AdmitQuick:
		w.admits = append(w.admits, body.AdmitQuick)
		answer, n := w.admit, len(w.admits)
		w.mu.Unlock()
		return &peerpb.Response{Body: &peerpb.Response_AdmitQuick{AdmitQuick: answer(n, body.AdmitQuick)}}
	case *peerpb.Request_ExecuteQuick:
		w.executes = append(w.executes, body.ExecuteQuick)
		answer, n := w.execute, len(w.executes)
		w.mu.Unlock()
		return &peerpb.Response{Body: &peerpb.Response_ExecuteQuick{ExecuteQuick: answer(n, body.ExecuteQuick)}}
	case *peerpb.Request_SubmitJob:
		w.submits = append(w.submits, body.SubmitJob.GetJob())
		answer, n := w.submit, len(w.submits)
		w.mu.Unlock()
		return &peerpb.Response{Body: &peerpb.Response_SubmitJob{SubmitJob: answer(n, body.SubmitJob.GetJob())}}
	case *peerpb.Request_FinishQuick:
		w.finishes = append(w.finishes, body.FinishQuick)
		w.mu.Unlock()
		return host.Ack(nil)
	default:
		w.mu.Unlock()
		return &peerpb.Response{Body: &peerpb.Response_JobStatus{JobStatus: &peerpb.JobStatus{
			Job: &peerpb.Job{Id: message.GetGetJob().GetJobId(), Team: string(saddle)}, State: "running",
		}}}
	}
}

func permitted() *peerpb.AdmitQuickReply {
	return &peerpb.AdmitQuickReply{Permit: &peerpb.Permit{Id: "p", Team: string(saddle), Partition: string(quotes), PartitionEpoch: groupEpoch}}
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

func (w *world) set(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f()
}

func (w *world) sends() []*peerpb.ExecuteQuick {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.executes)
}

// reply is what a caller got.
type reply struct {
	status  int
	header  http.Header
	body    string
	problem problem
}

// do sends as a caller; header holds "Name: value" lines.
func (w *world) do(method, path, body string, header ...string) reply {
	w.t.Helper()
	got, err := w.try(method, path, body, header...)
	require.NoError(w.t, err)
	return got
}

func (w *world) try(method, path, body string, header ...string) (reply, error) {
	request, err := http.NewRequest(method, "http://"+w.entry.Address()+path, strings.NewReader(body))
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
	if response.Header.Get("Content-Type") == problemContent {
		require.NoError(w.t, json.Unmarshal(data, &got.problem))
		assert.Equal(w.t, got.status, got.problem.Status)
	}
	return got, err
}

const auth = "Authorization: Bearer " + goodKey

func (w *world) quote(header ...string) reply {
	w.t.Helper()
	return w.do(http.MethodPost, "/v1/workspaces/saddle/requests", "hump", append(header, auth)...)
}

// raw sends bytes on a plain connection and returns everything that comes
// back until the entry closes it.
func (w *world) raw(send func(conn net.Conn)) string {
	conn, err := net.Dial("tcp", w.entry.Address())
	require.NoError(w.t, err)
	defer func() { _ = conn.Close() }()
	go send(conn)
	_ = conn.SetReadDeadline(time.Now().Add(time.Minute))
	data, err := io.ReadAll(conn)
	require.NoError(w.t, err, "the entry must close the connection")
	return string(data)
}

var _ port.PeerHandler = (*world)(nil)
