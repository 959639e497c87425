package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/history"
	"github.com/balsamhitch/balsamhitch/internal/standin/worker"
)

const (
	submitTimeout = 15 * time.Second
	pollInterval  = 100 * time.Millisecond
	pollTimeout   = 5 * time.Second
)

// Job is a job of batch or gang tasks.
type Job struct {
	Call           string // unique; also the idempotency key
	Credential     Credential
	Kind           model.WorkKind
	Tasks          int
	Processors     float64
	Memory         string // with a unit, such as "2GiB"
	Accelerators   int64
	ExpectedRun    time.Duration
	FailureDomains []model.FailureDomain
	NonIdempotent  bool
	TaskPayload    worker.Payload
}

// jobBody is the body of POST /v1/workspaces/{workspace}/jobs.
type jobBody struct {
	Kind           model.WorkKind        `json:"kind"`
	Tasks          int                   `json:"tasks"`
	Processors     float64               `json:"processors"`
	Memory         string                `json:"memory"`
	Accelerators   int64                 `json:"accelerators,omitempty"`
	ExpectedRun    string                `json:"expected_run"`
	FailureDomains []model.FailureDomain `json:"failure_domains,omitempty"`
	Payload        json.RawMessage       `json:"payload"`
}

// jobStatus is the part of the answer to GET /v1/jobs/{id} that is used here.
type jobStatus struct {
	State  string `json:"state"`
	Detail string `json:"detail"`
}

// Submit submits the job. If it was accepted, path is that of its status,
// "/v1/jobs/{id}", otherwise "".
func (c *Caller) Submit(ctx context.Context, job Job) (path string, result Result) {
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	body, err := job.body()
	if err != nil {
		return "", Result{Detail: err.Error()}
	}
	sent := history.Event{
		Call: job.Call, Team: job.Credential.Team, Key: job.Credential.KeyID, Tasks: job.Tasks, NonIdempotent: job.NonIdempotent,
	}
	build := func(base string) (*http.Request, error) { return job.request(base, body) }
	result = c.sendUntilAnswered(ctx, sent, build, func(answered history.Event, r Result) {
		if r.Status == http.StatusAccepted {
			path = r.header.Get("Location")
			answered.Outcome = ""
			c.recorder.Add(answered)
			c.recorder.Add(history.Event{Kind: history.Accepted, Call: job.Call, Team: job.Credential.Team, Job: model.JobID(jobID(path))})
			return
		}
		c.recorder.Add(answered)
	})
	return path, result
}

// Await polls the job until it has ended or ctx is done. It returns the last known
// state, or "" if no poll succeeded.
func (c *Caller) Await(ctx context.Context, job Job, path string) string {
	state := ""
	for ctx.Err() == nil {
		status, err := c.status(ctx, job.Credential, path)
		if err == nil {
			state = status.State
		}
		if isTerminal(state) {
			c.recorder.Add(history.Event{
				Kind: history.JobEnded, Call: job.Call, Job: model.JobID(jobID(path)), State: state, Detail: status.Detail,
			})
			return state
		}
		select {
		case <-ctx.Done():
		case <-time.After(pollInterval):
		}
	}
	return state
}

// Cancel requests the cancellation of the job with the path. It returns an error if
// no answer arrived, but not if the entry refused the request.
func (c *Caller) Cancel(ctx context.Context, credential Credential, path string) error {
	_, err := c.sendUnrecorded(ctx, http.MethodDelete, credential, path)
	return err
}

func (c *Caller) status(ctx context.Context, credential Credential, path string) (jobStatus, error) {
	result, err := c.sendUnrecorded(ctx, http.MethodGet, credential, path)
	if err != nil {
		return jobStatus{}, err
	}
	if result.Status != http.StatusOK {
		return jobStatus{}, Error.New("the job status cannot be read: HTTP status %d: %s", result.Status, result.Detail)
	}
	var status jobStatus
	err = json.Unmarshal(result.body, &status)
	return status, Error.Wrap(err)
}

// sendUnrecorded sends a request without a body once and does not record it.
func (c *Caller) sendUnrecorded(ctx context.Context, method string, credential Credential, path string) (Result, error) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	return c.sendOnce(ctx, func(base string) (*http.Request, error) {
		request, err := http.NewRequest(method, base+path, nil)
		if err == nil {
			setCallHeaders(request, credential, "")
		}
		return request, err
	})
}

func (j Job) body() ([]byte, error) {
	j.TaskPayload.Call = j.Call
	payload, err := json.Marshal(j.TaskPayload)
	if err != nil {
		return nil, err
	}
	return json.Marshal(jobBody{
		Kind: j.Kind, Tasks: j.Tasks, Processors: j.Processors, Memory: j.Memory, Accelerators: j.Accelerators,
		ExpectedRun: j.ExpectedRun.String(), FailureDomains: j.FailureDomains, Payload: payload,
	})
}

func (j Job) request(base string, body []byte) (*http.Request, error) {
	url := base + "/v1/workspaces/" + string(j.Credential.Team) + "/jobs"
	request, err := http.NewRequest(http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.GetBody = nil // every send is recorded, so net/http must not resend
	setCallHeaders(request, j.Credential, j.Call)
	request.Header.Set("Content-Type", "application/json")
	if j.NonIdempotent {
		request.Header.Set(headerNonIdempotent, "true")
	}
	return request, nil
}

func jobID(path string) string {
	return path[strings.LastIndex(path, "/")+1:]
}

// isTerminal reports whether a job in the state has ended.
func isTerminal(state string) bool {
	switch state {
	case "done", "failed", "cancelled", "unknown":
		return true
	default:
		return false
	}
}
