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

func TestAnswerIsRelayedAndRecorded(t *testing.T) {
	c := newTestCell(t, nil)
	c.peers.SetDelay(20 * time.Millisecond) // the end is recorded after the answer
	got := c.requestQuote("Idempotency-Key: k1")
	assert.Equal(t, 203, got.status)
	assert.Equal(t, "quote for hump", got.body)
	assert.Equal(t, "text/x-quote", got.header.Get("Content-Type"))
	assert.Equal(t, "done", got.header.Get(headerOutcome))
	require.NoError(t, c.entry.Shutdown(t.Context()))
	require.Len(t, c.finishes, 1)
	assert.Equal(t, "k1", c.finishes[0].GetIdempotencyKey())
	assert.Equal(t, "quote for hump", string(c.finishes[0].GetAnswer().GetBody()))
}

func TestTakeoversAreInvisibleToCallers(t *testing.T) {
	c := newTestCell(t, nil)
	c.admit = func(n int, _ *peerpb.AdmitQuick) *peerpb.AdmitQuickReply {
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
	assert.Equal(t, 203, c.requestQuote("Balsam-Non-Idempotent: true").status)
	require.Len(t, c.sends(), 1)
	assert.EqualValues(t, groupEpoch, c.sends()[0].GetPermit().GetPartitionEpoch(), "a permit bound to the previous owner must not be used")
}

// TestCallToFrozenOwnerIsCancelled checks that a request does not wait for a team
// owner that hangs in the call and loses the partition.
func TestCallToFrozenOwnerIsCancelled(t *testing.T) {
	c := newTestCell(t, nil)
	frozen := make(chan struct{})
	defer close(frozen)
	c.admit = func(n int, _ *peerpb.AdmitQuick) *peerpb.AdmitQuickReply {
		if n == 1 {
			c.set(func() { c.owners[model.TeamPartition(saddleTeam)] = owner{"team", 2} })
			<-frozen
		}
		return permitted()
	}
	assert.Equal(t, 203, c.requestQuote("Balsam-Deadline: 4m").status)
}

func TestLostAnswers(t *testing.T) {
	unknownOutcome := func(_ int, call *peerpb.ExecuteQuick) *peerpb.ExecuteQuickReply {
		return ended(call, model.OutcomeUnknown)
	}
	t.Run("a non-idempotent request is sent once", func(t *testing.T) {
		c := newTestCell(t, nil)
		c.execute = unknownOutcome
		got := c.requestQuote("Balsam-Non-Idempotent: true")
		assert.Equal(t, model.OutcomeUnknown, got.problem.Outcome)
		assert.Len(t, c.sends(), 1)
	})
	t.Run("an idempotent request avoids the group", func(t *testing.T) {
		c := newTestCell(t, nil)
		c.execute = func(n int, call *peerpb.ExecuteQuick) *peerpb.ExecuteQuickReply {
			if n == 1 {
				return unknownOutcome(n, call)
			}
			return ended(call, model.OutcomeDone)
		}
		assert.Equal(t, 203, c.requestQuote().status)
		assert.Equal(t, []string{string(quotesGroup)}, c.admits[1].GetAvoid())
	})
	t.Run("an answer to another request is dropped", func(t *testing.T) {
		c := newTestCell(t, nil)
		c.execute = func(_ int, call *peerpb.ExecuteQuick) *peerpb.ExecuteQuickReply {
			other := ended(call, model.OutcomeDone)
			other.RequestId = "another"
			return other
		}
		got := c.requestQuote("Balsam-Non-Idempotent: true")
		assert.Equal(t, model.OutcomeUnknown, got.problem.Outcome)
		assert.Equal(t, uint64(1), c.entry.stats.droppedAnswers.Get())
	})
	t.Run("an answer to an earlier attempt is dropped", func(t *testing.T) {
		c := newTestCell(t, nil)
		c.execute = func(_ int, call *peerpb.ExecuteQuick) *peerpb.ExecuteQuickReply {
			old := ended(call, model.OutcomeDone)
			old.Attempt--
			return old
		}
		assert.Equal(t, model.OutcomeUnknown, c.requestQuote("Balsam-Non-Idempotent: true").problem.Outcome)
	})
}

func TestRefusals(t *testing.T) {
	c := newTestCell(t, nil)
	c.admit = func(int, *peerpb.AdmitQuick) *peerpb.AdmitQuickReply { return refused(peerpb.Refusal_QUEUE_FULL) }
	got := c.requestQuote()
	assert.Equal(t, http.StatusTooManyRequests, got.status)
	assert.Equal(t, model.OutcomeNotRun, got.problem.Outcome)
	assert.Equal(t, "urn:balsamhitch:problem:queue-full", got.problem.Type)
	assert.NotEmpty(t, got.header.Get("Retry-After"))

	c.set(func() { delete(c.owners, model.TeamPartition(saddleTeam)) })
	got = c.requestQuote("Balsam-Deadline: 50ms")
	assert.Equal(t, http.StatusGatewayTimeout, got.status)
	assert.Equal(t, model.OutcomeNotRun, got.problem.Outcome)
	got = c.requestQuote("Balsam-Deadline: 50ms", "Idempotency-Key: again")
	assert.Equal(t, model.OutcomeUnknown, got.problem.Outcome, "an earlier request may have run under the key")
	assert.Empty(t, c.sends())
	c.set(func() { c.owners[model.TeamPartition(saddleTeam)] = owner{"team", 2} }) // so that the ends can be recorded
}

func TestWorkIsAcceptedOnlyWithTheTeamsKey(t *testing.T) {
	c := newTestCell(t, nil)
	post := func(workspace string, header ...string) reply {
		return c.do(http.MethodPost, "/v1/workspaces/"+workspace+"/requests", "x", append(header, "Balsam-Service: quotes")...)
	}
	assert.Equal(t, http.StatusUnauthorized, post("saddle").status)
	assert.Equal(t, http.StatusUnauthorized, post("saddle", "Authorization: Bearer bh_forged").status)
	assert.Equal(t, http.StatusUnauthorized, post("saddle", "Authorization: Basic "+goodKey).status)
	assert.Equal(t, http.StatusForbidden, post("saddle", "Authorization: Bearer bh_other").status)
	assert.Equal(t, http.StatusForbidden, post("nobody", auth).status)
	for _, path := range []string{"/v1/jobs/saddle.01ARZ3NDEKTSV4RRFFQ69G5FAV"} {
		assert.Equal(t, http.StatusUnauthorized, c.do(http.MethodGet, path, "").status)
		assert.Equal(t, http.StatusForbidden, c.do(http.MethodDelete, path, "", "Authorization: Bearer bh_other").status)
	}
	assert.Empty(t, c.sends())
	assert.Equal(t, 203, post("souk").status, "open to all")
	c.set(func() { delete(c.keys, goodKey) })
	assert.Equal(t, http.StatusUnauthorized, post("saddle", auth).status, "withdrawn")
	c.set(func() { c.keys[goodKey] = saddleTeam; c.stale = true })
	assert.Equal(t, http.StatusServiceUnavailable, post("saddle", auth).status, "the key can't be checked")
	assert.Len(t, c.sends(), 1)
}

// TestKeyIsRejectedAfterSuspensionDuringCheck covers a key that is withdrawn while
// the process is suspended between the key look-up and the freshness check.
func TestKeyIsRejectedAfterSuspensionDuringCheck(t *testing.T) {
	c := newTestCell(t, nil)
	c.set(func() { c.staleAfterLookup = true })
	assert.Equal(t, http.StatusServiceUnavailable, c.requestQuote().status)
	assert.Empty(t, c.sends())
}

func TestAllFindingsAreReportedTogether(t *testing.T) {
	c := newTestCell(t, nil)
	got := c.do(http.MethodPost, "/v1/workspaces/saddle/jobs",
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
	got = c.do(http.MethodPost, "/v1/workspaces/souk/requests", "", "Balsam-Service: hides")
	assert.Equal(t, "header Balsam-Service", got.problem.Findings[0].Place)
}

const batchJob = `{"kind":"batch","tasks":3,"processors":1.5,"memory":"4GiB","payload":{"run_ms":5}}`

func TestJobIsAcceptedOnceAndFound(t *testing.T) {
	c := newTestCell(t, nil)
	c.submit = func(n int, job *peerpb.Job) *peerpb.SubmitJobReply {
		switch n {
		case 1: // stored in the log, but reported with an unknown outcome
			return &peerpb.SubmitJobReply{Unknown: true, Refusal: refused(peerpb.Refusal_UNAVAILABLE).Refusal}
		case 2:
			return &peerpb.SubmitJobReply{Refusal: refused(peerpb.Refusal_NOT_OWNER).Refusal}
		default:
			return &peerpb.SubmitJobReply{JobId: job.GetId()}
		}
	}
	got := c.do(http.MethodPost, "/v1/workspaces/saddle/jobs", batchJob, auth, "Idempotency-Key: h1")
	require.Equal(t, http.StatusAccepted, got.status)
	assert.Equal(t, c.submits[0].GetId(), c.submits[2].GetId(), "each attempt must carry the same job id")
	assert.Equal(t, int64(1500), c.submits[0].GetSize().GetMilliCpu())
	assert.Equal(t, int64(4096), c.submits[0].GetSize().GetMemoryMib())
	assert.JSONEq(t, `{"run_ms":5}`, string(c.submits[0].GetPayload()))
	location := got.header.Get("Location")
	assert.Equal(t, "/v1/jobs/saddle."+c.submits[0].GetId(), location)
	assert.Contains(t, c.do(http.MethodGet, location, "", auth).body, `"state":"running"`)
}

func TestJobOfUnknownOutcomeIsNotReportedNotRun(t *testing.T) {
	c := newTestCell(t, nil)
	c.submit = func(n int, _ *peerpb.Job) *peerpb.SubmitJobReply {
		return &peerpb.SubmitJobReply{Unknown: n == 1, Refusal: refused(peerpb.Refusal_UNAVAILABLE).Refusal}
	}
	got := c.do(http.MethodPost, "/v1/workspaces/saddle/jobs", batchJob, auth, "Balsam-Deadline: 2s")
	assert.Equal(t, model.OutcomeUnknown, got.problem.Outcome)
	assert.NotEmpty(t, got.header.Get("Location"), "the caller must be able to look the job up")
}

func TestShutdownFinishesRequestsInFlight(t *testing.T) {
	c := newTestCell(t, nil)
	arrived, proceed := make(chan struct{}), make(chan struct{})
	c.execute = func(_ int, call *peerpb.ExecuteQuick) *peerpb.ExecuteQuickReply {
		close(arrived)
		<-proceed
		return ended(call, model.OutcomeDone)
	}
	answers := make(chan reply, 1)
	go func() { answers <- c.requestQuote("Idempotency-Key: k") }()
	<-arrived
	idle, err := net.Dial("tcp", c.entry.Address())
	require.NoError(t, err)
	defer func() { _ = idle.Close() }()
	stopped := make(chan error, 1)
	go func() { stopped <- c.entry.Shutdown(context.Background()) }()
	require.Eventually(t, func() bool {
		_, err := c.try(http.MethodGet, "/readyz", "")
		return err != nil
	}, 30*time.Second, time.Millisecond, "new callers must use another entry")
	select {
	case <-stopped:
		t.Fatal("the entry did not wait for its request")
	default:
	}
	close(proceed)
	assert.Equal(t, 203, (<-answers).status)
	require.NoError(t, <-stopped)
	assert.Len(t, c.finishes, 1, "the end must be recorded before the entry stops")
}

func TestRequestsInFlightAreLimited(t *testing.T) {
	c := newTestCell(t, func(set *settings.Entry) { set.Limits.MaxInFlight = 1 })
	arrived, proceed := make(chan struct{}), make(chan struct{})
	c.execute = func(_ int, call *peerpb.ExecuteQuick) *peerpb.ExecuteQuickReply {
		close(arrived)
		<-proceed
		return ended(call, model.OutcomeDone)
	}
	answers := make(chan reply, 1)
	go func() { answers <- c.requestQuote() }()
	<-arrived
	got := c.requestQuote()
	assert.Equal(t, http.StatusServiceUnavailable, got.status)
	assert.Equal(t, model.OutcomeNotRun, got.problem.Outcome)
	close(proceed)
	assert.Equal(t, 203, (<-answers).status)
}

// requestHead is the start of a raw HTTP request.
const requestHead = "POST /v1/workspaces/saddle/requests HTTP/1.1\r\nHost: x\r\n" + auth + "\r\n"

func TestMalformedHTTPEndsOnlyItsConnection(t *testing.T) {
	c := newTestCell(t, func(set *settings.Entry) {
		set.Limits.MaxBody = 1000
		set.Limits.MaxHeader = 2000
	})
	send := func(text string) func(net.Conn) {
		return func(conn net.Conn) { _, _ = conn.Write([]byte(text)) }
	}
	assert.Contains(t, c.raw(send("\x00\x01 garbage\r\n\r\n")), " 400 ")
	assert.Contains(t, c.raw(send(requestHead+"Content-Length: 5000\r\n\r\n"+strings.Repeat("x", 5000))), " 413 ")
	assert.Contains(t, c.raw(send(requestHead+"X: "+strings.Repeat("x", 5000)+"\r\n\r\n")), " 431 ")
	assert.Empty(t, c.sends())
}

func TestSlowCallersAndConnectionsAreLimited(t *testing.T) {
	c := newTestCell(t, func(set *settings.Entry) {
		set.Limits.MaxConnections = 8
		set.Timeouts.Read = 100 * time.Millisecond
	})
	for name, text := range map[string]string{
		"headers": requestHead + "X-Slow: ",
		"body":    requestHead + "Content-Length: 1000\r\n\r\n",
	} {
		answer := c.raw(func(conn net.Conn) {
			_, err := conn.Write([]byte(text))
			for err == nil { // one byte at a time until the connection closes
				time.Sleep(5 * time.Millisecond)
				_, err = conn.Write([]byte("x"))
			}
		})
		assert.Contains(t, answer, " 408 ", "slow %s", name)
	}
	assert.Empty(t, c.sends())
	for i := range 20 { // connections beyond the limit are closed
		conn, err := net.Dial("tcp", c.entry.Address())
		require.NoError(t, err, i)
		defer func() { _ = conn.Close() }()
	}
	assert.LessOrEqual(t, c.entry.listener.Open(), 8)
}

func FuzzParseJob(f *testing.F) {
	f.Add([]byte(batchJob))
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

// TestShutdownServesKeepAliveConnections checks that a shutdown still serves a
// request that a caller sends on a connection it has just used.
func TestShutdownServesKeepAliveConnections(t *testing.T) {
	c := newTestCell(t, nil)
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	closes := func() bool {
		response, err := client.Get("http://" + c.entry.Address() + "/healthz")
		require.NoError(t, err)
		_, _ = io.Copy(io.Discard, response.Body) // so that the connection is reused
		_ = response.Body.Close()
		return response.Close
	}
	assert.False(t, closes())
	c.entry.listener.IdleGrace = time.Hour // only the answer closes the connection
	stopped := make(chan error, 1)
	go func() { stopped <- c.entry.Shutdown(context.Background()) }()
	require.Eventually(t, func() bool { return !c.entry.Ready() }, 30*time.Second, time.Millisecond)
	time.Sleep(5 * drainCheckInterval)
	assert.True(t, closes(), "the request must be served and the connection closed")
	require.NoError(t, <-stopped)
}
