package entry

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/balsamhitch/balsamhitch/internal/adapter/settings"
	"github.com/balsamhitch/balsamhitch/internal/core/findings"
	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/pb/peerpb"
)

func TestAnswerIsRelayedWholeAndRecorded(t *testing.T) {
	w := newWorld(t, nil)
	w.peers.SetDelay(20 * time.Millisecond) // the end is recorded after the answer
	got := w.quote("Idempotency-Key: k1")
	assert.Equal(t, 203, got.status)
	assert.Equal(t, "quote for hump", got.body)
	assert.Equal(t, "text/x-quote", got.header.Get("Content-Type"))
	assert.Equal(t, "done", got.header.Get(headerOutcome))
	require.NoError(t, w.entry.Shutdown(t.Context()))
	require.Len(t, w.finishes, 1)
	assert.Equal(t, "k1", w.finishes[0].GetIdempotencyKey())
	assert.Equal(t, "quote for hump", string(w.finishes[0].GetAnswer().GetBody()))
}

func TestTakeoversAreInvisibleToCallers(t *testing.T) {
	w := newWorld(t, nil)
	w.admit = func(n int, _ *peerpb.AdmitQuick) *peerpb.AdmitQuickReply {
		switch n {
		case 1:
			return refused(peerpb.Refusal_NOT_OWNER)
		case 2:
			old := permitted()
			old.Permit.PartitionEpoch--
			return old
		default:
			return permitted()
		}
	}
	assert.Equal(t, 203, w.quote("Balsam-Non-Idempotent: true").status)
	require.Len(t, w.sends(), 1)
	assert.EqualValues(t, groupEpoch, w.sends()[0].GetPermit().GetPartitionEpoch(), "a former holder's permit is not used")
}

// TestFrozenOwnerIsLeft guards a request whose team's owner froze with the
// call in its hands and lost the partition.
func TestFrozenOwnerIsLeft(t *testing.T) {
	w := newWorld(t, nil)
	frozen := make(chan struct{})
	defer close(frozen)
	w.admit = func(n int, _ *peerpb.AdmitQuick) *peerpb.AdmitQuickReply {
		if n == 1 {
			w.set(func() { w.owners[model.TeamPartition(saddle)] = owner{"team", 2} })
			<-frozen
		}
		return permitted()
	}
	assert.Equal(t, 203, w.quote("Balsam-Deadline: 4m").status)
}

func TestLostAnswers(t *testing.T) {
	lost := func(_ int, call *peerpb.ExecuteQuick) *peerpb.ExecuteQuickReply {
		return ended(call, model.OutcomeUnknown)
	}
	t.Run("a non-idempotent request is sent once", func(t *testing.T) {
		w := newWorld(t, nil)
		w.execute = lost
		got := w.quote("Balsam-Non-Idempotent: true")
		assert.Equal(t, model.OutcomeUnknown, got.problem.Outcome)
		assert.Len(t, w.sends(), 1)
	})
	t.Run("an idempotent one goes elsewhere", func(t *testing.T) {
		w := newWorld(t, nil)
		w.execute = func(n int, call *peerpb.ExecuteQuick) *peerpb.ExecuteQuickReply {
			if n == 1 {
				return lost(n, call)
			}
			return ended(call, model.OutcomeDone)
		}
		assert.Equal(t, 203, w.quote().status)
		assert.Equal(t, []string{string(quotes)}, w.admits[1].GetAvoid())
	})
	t.Run("a foreign answer is dropped", func(t *testing.T) {
		w := newWorld(t, nil)
		w.execute = func(_ int, call *peerpb.ExecuteQuick) *peerpb.ExecuteQuickReply {
			foreign := ended(call, model.OutcomeDone)
			foreign.RequestId = "another"
			return foreign
		}
		got := w.quote("Balsam-Non-Idempotent: true")
		assert.Equal(t, model.OutcomeUnknown, got.problem.Outcome)
		assert.Equal(t, uint64(1), w.entry.stats.late.Get())
	})
	t.Run("an old attempt's answer is dropped", func(t *testing.T) {
		w := newWorld(t, nil)
		w.execute = func(_ int, call *peerpb.ExecuteQuick) *peerpb.ExecuteQuickReply {
			old := ended(call, model.OutcomeDone)
			old.Attempt--
			return old
		}
		assert.Equal(t, model.OutcomeUnknown, w.quote("Balsam-Non-Idempotent: true").problem.Outcome)
	})
}

func TestRefusals(t *testing.T) {
	w := newWorld(t, nil)
	w.admit = func(int, *peerpb.AdmitQuick) *peerpb.AdmitQuickReply { return refused(peerpb.Refusal_QUEUE_FULL) }
	got := w.quote()
	assert.Equal(t, http.StatusTooManyRequests, got.status)
	assert.Equal(t, model.OutcomeNotRun, got.problem.Outcome)
	assert.Equal(t, "urn:balsamhitch:problem:queue-full", got.problem.Type)
	assert.NotEmpty(t, got.header.Get("Retry-After"))

	w.set(func() { delete(w.owners, model.TeamPartition(saddle)) })
	got = w.quote("Balsam-Deadline: 50ms")
	assert.Equal(t, http.StatusGatewayTimeout, got.status)
	assert.Equal(t, model.OutcomeNotRun, got.problem.Outcome)
	got = w.quote("Balsam-Deadline: 50ms", "Idempotency-Key: again")
	assert.Equal(t, model.OutcomeUnknown, got.problem.Outcome, "an earlier request may have run under the key")
	assert.Empty(t, w.sends())
	w.set(func() { w.owners[model.TeamPartition(saddle)] = owner{"team", 2} }) // takes the ends
}

func TestWorkIsTakenOnlyWithTheTeamsKey(t *testing.T) {
	w := newWorld(t, nil)
	post := func(workspace string, header ...string) reply {
		return w.do(http.MethodPost, "/v1/workspaces/"+workspace+"/requests", "x", append(header, "Balsam-Service: quotes")...)
	}
	assert.Equal(t, http.StatusUnauthorized, post("saddle").status)
	assert.Equal(t, http.StatusUnauthorized, post("saddle", "Authorization: Bearer bh_forged").status)
	assert.Equal(t, http.StatusUnauthorized, post("saddle", "Authorization: Basic "+goodKey).status)
	assert.Equal(t, http.StatusForbidden, post("saddle", "Authorization: Bearer bh_other").status)
	assert.Equal(t, http.StatusForbidden, post("nobody", auth).status)
	for _, path := range []string{"/v1/jobs/saddle.01ARZ3NDEKTSV4RRFFQ69G5FAV"} {
		assert.Equal(t, http.StatusUnauthorized, w.do(http.MethodGet, path, "").status)
		assert.Equal(t, http.StatusForbidden, w.do(http.MethodDelete, path, "", "Authorization: Bearer bh_other").status)
	}
	assert.Empty(t, w.sends())
	assert.Equal(t, 203, post("souk").status, "open to all")
	w.set(func() { delete(w.keys, goodKey) })
	assert.Equal(t, http.StatusUnauthorized, post("saddle", auth).status, "withdrawn")
	w.set(func() { w.keys[goodKey] = saddle; w.stale = true })
	assert.Equal(t, http.StatusServiceUnavailable, post("saddle", auth).status, "nobody can vouch for the key")
	assert.Len(t, w.sends(), 1)
}

// A key may be withdrawn while the process is stopped in the middle of the
// check.
func TestKeyIsNotTakenAfterAStopWithinTheCheck(t *testing.T) {
	w := newWorld(t, nil)
	w.set(func() { w.stops = true })
	assert.Equal(t, http.StatusServiceUnavailable, w.quote().status)
	assert.Empty(t, w.sends())
}

func TestAllFindingsAreReportedTogether(t *testing.T) {
	w := newWorld(t, nil)
	got := w.do(http.MethodPost, "/v1/workspaces/saddle/jobs",
		`{"kind":"gang","tasks":0,"memory":"4","processors":"two","colour":"red","expected_run":"soon","start_by":"now"}`,
		auth, "Balsam-Deadline: soon", "Balsam-Non-Idempotent: perhaps", "Idempotency-Key: "+strings.Repeat("k", 201))
	assert.Equal(t, http.StatusBadRequest, got.status)
	var places []string
	for _, f := range got.problem.Findings {
		places = append(places, f.Place)
	}
	assert.ElementsMatch(t, []string{
		"header Balsam-Deadline", "header Balsam-Non-Idempotent", "header Idempotency-Key", "body kind",
		"body tasks", "body memory", "body processors", "body colour", "body expected_run", "body start_by",
	}, places)
	assert.Equal(t, model.OutcomeNotRun, got.problem.Outcome)
	got = w.do(http.MethodPost, "/v1/workspaces/souk/requests", "", "Balsam-Service: hides")
	assert.Equal(t, "header Balsam-Service", got.problem.Findings[0].Place)
}

const hides = `{"kind":"batch","tasks":3,"processors":1.5,"memory":"4GiB","payload":{"run_ms":5}}`

func TestJobIsAcceptedOnceAndFound(t *testing.T) {
	w := newWorld(t, nil)
	w.submit = func(n int, job *peerpb.Job) *peerpb.SubmitJobReply {
		switch n {
		case 1: // on the log, but the answer says that nobody knows
			return &peerpb.SubmitJobReply{Unknown: true, Refusal: refused(peerpb.Refusal_UNAVAILABLE).Refusal}
		case 2:
			return &peerpb.SubmitJobReply{Refusal: refused(peerpb.Refusal_NOT_OWNER).Refusal}
		default:
			return &peerpb.SubmitJobReply{JobId: job.GetId()}
		}
	}
	got := w.do(http.MethodPost, "/v1/workspaces/saddle/jobs", hides, auth, "Idempotency-Key: h1")
	require.Equal(t, http.StatusAccepted, got.status)
	assert.Equal(t, w.submits[0].GetId(), w.submits[2].GetId(), "the same job is offered again")
	assert.Equal(t, int64(1500), w.submits[0].GetSize().GetMilliCpu())
	assert.Equal(t, int64(4096), w.submits[0].GetSize().GetMemoryMib())
	assert.JSONEq(t, `{"run_ms":5}`, string(w.submits[0].GetPayload()))
	location := got.header.Get("Location")
	assert.Equal(t, "/v1/jobs/saddle."+w.submits[0].GetId(), location)
	assert.Contains(t, w.do(http.MethodGet, location, "", auth).body, `"state":"running"`)
}

func TestJobOfUnknownEndIsNotCalledNotRun(t *testing.T) {
	w := newWorld(t, nil)
	w.submit = func(n int, _ *peerpb.Job) *peerpb.SubmitJobReply {
		return &peerpb.SubmitJobReply{Unknown: n == 1, Refusal: refused(peerpb.Refusal_UNAVAILABLE).Refusal}
	}
	got := w.do(http.MethodPost, "/v1/workspaces/saddle/jobs", hides, auth, "Balsam-Deadline: 200ms")
	assert.Equal(t, model.OutcomeUnknown, got.problem.Outcome)
	assert.NotEmpty(t, got.header.Get("Location"), "where the caller can look")
}

func TestShutdownFinishesRequestsInFlight(t *testing.T) {
	w := newWorld(t, nil)
	arrived, proceed := make(chan struct{}), make(chan struct{})
	w.execute = func(_ int, call *peerpb.ExecuteQuick) *peerpb.ExecuteQuickReply {
		close(arrived)
		<-proceed
		return ended(call, model.OutcomeDone)
	}
	answers := make(chan reply, 1)
	go func() { answers <- w.quote("Idempotency-Key: k") }()
	<-arrived
	idle, err := net.Dial("tcp", w.entry.Address())
	require.NoError(t, err)
	defer func() { _ = idle.Close() }()
	stopped := make(chan error, 1)
	go func() { stopped <- w.entry.Shutdown(context.Background()) }()
	require.Eventually(t, func() bool {
		_, err := w.try(http.MethodGet, "/readyz", "")
		return err != nil
	}, 30*time.Second, time.Millisecond, "new callers must go elsewhere")
	select {
	case <-stopped:
		t.Fatal("the entry did not wait for its request")
	default:
	}
	close(proceed)
	assert.Equal(t, 203, (<-answers).status)
	require.NoError(t, <-stopped)
	assert.Len(t, w.finishes, 1, "the end is recorded before the entry goes")
}

func TestRequestsInFlightAreBounded(t *testing.T) {
	w := newWorld(t, func(set *settings.Entry) { set.Limits.MaxInFlight = 1 })
	arrived, proceed := make(chan struct{}), make(chan struct{})
	w.execute = func(_ int, call *peerpb.ExecuteQuick) *peerpb.ExecuteQuickReply {
		close(arrived)
		<-proceed
		return ended(call, model.OutcomeDone)
	}
	answers := make(chan reply, 1)
	go func() { answers <- w.quote() }()
	<-arrived
	got := w.quote()
	assert.Equal(t, http.StatusServiceUnavailable, got.status)
	assert.Equal(t, model.OutcomeNotRun, got.problem.Outcome)
	close(proceed)
	assert.Equal(t, 203, (<-answers).status)
}

func TestBadHTTPEndsTheConnectionOnly(t *testing.T) {
	w := newWorld(t, func(set *settings.Entry) {
		set.Limits.MaxBody = 1000
		set.Limits.MaxHeader = 2000
		set.Limits.MaxConnections = 8
		set.Timeouts.Read = 100 * time.Millisecond
	})
	send := func(text string) func(net.Conn) {
		return func(conn net.Conn) { _, _ = conn.Write([]byte(text)) }
	}
	const head = "POST /v1/workspaces/saddle/requests HTTP/1.1\r\nHost: x\r\n" + auth + "\r\n"
	assert.Contains(t, w.raw(send("\x00\x01 garbage\r\n\r\n")), " 400 ")
	assert.Contains(t, w.raw(send(head+"Content-Length: 5000\r\n\r\n"+strings.Repeat("x", 5000))), " 413 ")
	assert.Contains(t, w.raw(send(head+"X: "+strings.Repeat("x", 5000)+"\r\n\r\n")), " 431 ")
	for name, text := range map[string]string{
		"headers": head + "X-Slow: ",
		"body":    head + "Content-Length: 1000\r\n\r\n",
	} {
		answer := w.raw(func(conn net.Conn) {
			_, err := conn.Write([]byte(text))
			for err == nil { // one byte at a time for as long as it is taken
				time.Sleep(5 * time.Millisecond)
				_, err = conn.Write([]byte("x"))
			}
		})
		assert.Contains(t, answer, " 408 ", "slow %s", name)
	}
	assert.Empty(t, w.sends())
	for i := range 20 { // slow callers beyond the bound are closed
		conn, err := net.Dial("tcp", w.entry.Address())
		require.NoError(t, err, i)
		defer func() { _ = conn.Close() }()
	}
	w.entry.listener.mu.Lock()
	assert.LessOrEqual(t, len(w.entry.listener.open), 8)
	w.entry.listener.mu.Unlock()
}

func FuzzParseJob(f *testing.F) {
	f.Add([]byte(hides))
	f.Add([]byte(`{"kind":"gang","tasks":1e9,"memory":"NaNGiB","processors":1e308,"accelerators":-1}`))
	f.Add([]byte(`{"failure_domains":[""],"start_by":"2026-01-01T00:00:00Z","expected_run":"-1s"}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		var found findings.List
		job := parseJob(body, &found)
		if len(found) > 0 {
			return
		}
		if job.Size.MilliCPU <= 0 || job.Size.MemoryMiB <= 0 || job.Size.Accelerators < 0 || job.Tasks < 1 || job.Kind == "" {
			t.Fatalf("accepted %+v", job)
		}
	})
}

// TestShutdownServesKeptConnections guards the request that a caller sends on
// a connection it has just used, while the entry begins to shut down.
func TestShutdownServesKeptConnections(t *testing.T) {
	w := newWorld(t, nil)
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	closes := func() bool {
		response, err := client.Get("http://" + w.entry.Address() + "/healthz")
		require.NoError(t, err)
		_, _ = io.Copy(io.Discard, response.Body) // so that the connection is kept
		_ = response.Body.Close()
		return response.Close
	}
	assert.False(t, closes())
	stopped := make(chan error, 1)
	go func() { stopped <- w.entry.Shutdown(context.Background()) }()
	require.Eventually(t, func() bool { return !w.entry.Ready() }, 30*time.Second, time.Millisecond)
	time.Sleep(5 * drainCheck)
	assert.True(t, closes(), "served, and told to go elsewhere")
	require.NoError(t, <-stopped)
}
