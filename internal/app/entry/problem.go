package entry

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/balsamhitch/balsamhitch/internal/core/findings"
	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/core/request"
)

// Headers of the public API.
const (
	headerService       = "Balsam-Service"
	headerDeadline      = "Balsam-Deadline"
	headerNonIdempotent = "Balsam-Non-Idempotent"
	headerKey           = "Idempotency-Key"
	headerRequest       = "Balsam-Request"  // in answers: the request's id
	headerOutcome       = "Balsam-Outcome"  // in answers
	headerReplayed      = "Balsam-Replayed" // in answers recorded for an earlier request
)

const (
	problemContentType = "application/problem+json"
	jsonContentType    = "application/json"
)

// problem is an RFC 9457 problem document.
type problem struct {
	Type     string        `json:"type"`
	Title    string        `json:"title"`
	Status   int           `json:"status"`
	Detail   string        `json:"detail,omitempty"`
	Outcome  model.Outcome `json:"outcome"`
	Findings []finding     `json:"findings,omitempty"`

	retryAfter time.Duration
	challenge  bool // send WWW-Authenticate
}

// finding is one error in a request.
type finding struct {
	Place   string `json:"place"` // such as "header Balsam-Deadline" or "body tasks"
	Problem string `json:"problem"`
}

func (p problem) write(c *app.RequestContext) {
	data, err := json.Marshal(p)
	if err != nil {
		c.SetStatusCode(http.StatusInternalServerError)
		return
	}
	c.Header(headerOutcome, string(p.Outcome))
	if p.retryAfter > 0 {
		seconds := int(math.Ceil(p.retryAfter.Seconds()))
		c.Header("Retry-After", strconv.Itoa(max(1, seconds)))
	}
	if p.challenge {
		c.Header("WWW-Authenticate", `Bearer realm="balsamhitch"`)
	}
	c.Data(p.Status, problemContentType, data)
}

func newProblem(reason request.Reason, detail string) problem {
	status := statusOf(reason)
	return problem{
		Type:    problemType(reasonName(reason)),
		Title:   http.StatusText(status),
		Status:  status,
		Detail:  detail,
		Outcome: model.OutcomeNotRun,
	}
}

// refusalProblem returns the problem document of a request that ended without a
// result.
func refusalProblem(outcome model.Outcome, refusal request.Refusal) problem {
	p := newProblem(refusal.Reason, refusal.Detail)
	p.Outcome = outcome
	p.retryAfter = refusal.RetryAfter
	if outcome == model.OutcomeUnknown && p.Status == http.StatusServiceUnavailable {
		// With 503 callers would retry as if the request had not run.
		p.Status = http.StatusBadGateway
		p.Title = "Outcome unknown"
	}
	if p.retryAfter == 0 && outcome == model.OutcomeNotRun && callerMayRetry(refusal.Reason) {
		p.retryAfter = time.Second
	}
	return p
}

// callerMayRetry reports whether a later retry by the caller may succeed.
func callerMayRetry(reason request.Reason) bool {
	switch reason {
	case request.Unavailable, request.NotOwner, request.StaleEpoch, request.QueueFull,
		request.OverLimit, request.NoCapacity, request.DomainOut:
		return true
	default:
		return false
	}
}

func statusOf(reason request.Reason) int {
	switch reason {
	case request.OverLimit, request.QueueFull:
		return http.StatusTooManyRequests
	case request.Deadline:
		return http.StatusGatewayTimeout
	case request.NotFound:
		return http.StatusNotFound
	case request.Conflict:
		return http.StatusConflict
	case request.Invalid:
		return http.StatusBadRequest
	case request.NeverFits:
		return http.StatusUnprocessableEntity
	default:
		return http.StatusServiceUnavailable
	}
}

// findingsProblem returns the problem document that lists all errors in a request.
func findingsProblem(list findings.List) problem {
	p := newProblem(request.Invalid, "the request has "+strconv.Itoa(len(list))+" faults; see findings")
	for _, f := range list {
		p.Findings = append(p.Findings, finding{Place: f.File + " " + f.Key, Problem: f.Problem})
	}
	return p
}

// keyProblem returns the problem document of a request without a valid key.
func keyProblem(status int, name, detail string) problem {
	return problem{
		Type:      problemType(name),
		Title:     http.StatusText(status),
		Status:    status,
		Detail:    detail,
		Outcome:   model.OutcomeNotRun,
		challenge: status == http.StatusUnauthorized,
	}
}
