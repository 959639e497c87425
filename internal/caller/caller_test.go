package caller

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/history"
	"github.com/balsamhitch/balsamhitch/internal/standin/runner"
)

var quote = Quick{
	Call: "c1", Credential: Credential{Team: "quotes", KeyID: "k", Token: "t"}, Service: "quotes", Deadline: time.Minute,
}

// recorderWithKey returns a recorder with the event that issues the key of quote.
func recorderWithKey() *history.Recorder {
	var recorder history.Recorder
	recorder.Add(history.Event{Kind: history.KeyIssued, Key: "k", Team: "quotes"})
	return &recorder
}

func writeReply(w http.ResponseWriter, r *http.Request, call string) {
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(runner.Reply{Call: call})
}

func TestCallerResendsWhenConnectionBreaks(t *testing.T) {
	var calls atomic.Int32
	entry := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		assert.Equal(t, "c1", r.Header.Get("Idempotency-Key"))
		if calls.Add(1) == 1 {
			panic(http.ErrAbortHandler)
		}
		writeReply(w, r, "c1")
	}))
	defer entry.Close()
	recorder := recorderWithKey()
	result := New(NewBalancer(entry.URL), recorder).Quick(t.Context(), quote)
	assert.Equal(t, model.OutcomeDone, result.Outcome)
	assert.Equal(t, 2, result.Sends)
	assert.Empty(t, history.Check(recorder.Since(0), history.Options{}))
}

func TestCallerRecordsForeignAndMissingAnswers(t *testing.T) {
	entry := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { writeReply(w, r, "other") }))
	defer entry.Close()
	recorder := recorderWithKey()
	New(NewBalancer(entry.URL), recorder).Quick(t.Context(), quote)
	found := history.Check(recorder.Since(0), history.Options{})
	require.Len(t, found, 1)
	assert.Equal(t, history.CompleteAnswer, found[0].Promise)

	unresponsive, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = unresponsive.Close() }()
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	recorder = recorderWithKey()
	assert.True(t, New(NewBalancer("http://"+unresponsive.Addr().String()), recorder).Quick(ctx, quote).Lost())
	found = history.Check(recorder.Since(0), history.Options{})
	require.Len(t, found, 1)
	assert.Equal(t, history.CompleteAnswer, found[0].Promise)
}

func TestCallerParsesOutcomeOfProblem(t *testing.T) {
	entry := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Content-Type", "application/problem+json")
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = io.WriteString(w, `{"title":"queue full","outcome":"not_run"}`)
	}))
	defer entry.Close()
	result := New(NewBalancer(entry.URL), recorderWithKey()).Quick(t.Context(), quote)
	assert.Equal(t, model.OutcomeNotRun, result.Outcome)
	assert.Equal(t, "queue full", result.Detail)
}
