package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/history"
	"github.com/balsamhitch/balsamhitch/internal/standin/runner"
)

// Headers of the callers' API.
const (
	headerKey           = "Idempotency-Key"
	headerService       = "Balsam-Service"
	headerDeadline      = "Balsam-Deadline"
	headerNonIdempotent = "Balsam-Non-Idempotent"
)

// Quick is one quick request.
type Quick struct {
	Call          string // unique; also the idempotency key
	Credential    Credential
	Service       model.ServiceID
	Deadline      time.Duration // from the send; header Balsam-Deadline
	NonIdempotent bool
	RunMS         int64 // run time on the runner
	ReplyBytes    int   // length of the padding in the runner's reply
}

// Quick sends the request until it gets an answer, at most until answerMargin
// after its deadline.
func (c *Caller) Quick(ctx context.Context, q Quick) Result {
	ctx, cancel := context.WithTimeout(ctx, q.Deadline+answerMargin)
	defer cancel()
	body, err := json.Marshal(runner.Payload{Call: q.Call, RunMS: q.RunMS, ReplyBytes: q.ReplyBytes})
	if err != nil {
		return Result{Detail: err.Error()}
	}
	sent := history.Event{
		Call: q.Call, Team: q.Credential.Team, Key: q.Credential.KeyID, NonIdempotent: q.NonIdempotent, Quick: true,
	}
	build := func(base string) (*http.Request, error) { return q.request(base, body) }
	return c.sendUntilAnswered(ctx, sent, build, func(answered history.Event, result Result) {
		answered.Complete, answered.BodyCall = q.checkReply(result)
		c.recorder.Add(answered)
	})
}

func (q Quick) request(base string, body []byte) (*http.Request, error) {
	url := base + "/v1/workspaces/" + string(q.Credential.Team) + "/requests"
	request, err := http.NewRequest(http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.GetBody = nil // every send is recorded, so net/http must not resend
	setCallHeaders(request, q.Credential, q.Call)
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(headerService, string(q.Service))
	request.Header.Set(headerDeadline, q.Deadline.String())
	if q.NonIdempotent {
		request.Header.Set(headerNonIdempotent, "true")
	}
	return request, nil
}

// checkReply reports whether the answer is complete, and the call that its body
// names.
func (q Quick) checkReply(result Result) (complete bool, call string) {
	var reply runner.Reply
	if json.Unmarshal(result.body, &reply) != nil {
		return false, ""
	}
	return len(reply.Padding) == q.ReplyBytes, reply.Call
}

// setCallHeaders sets the credential's token and the call as the idempotency key. It
// omits either that is empty.
func setCallHeaders(request *http.Request, credential Credential, call string) {
	if credential.Token != "" {
		request.Header.Set("Authorization", "Bearer "+credential.Token)
	}
	if call != "" {
		request.Header.Set(headerKey, call)
	}
}
