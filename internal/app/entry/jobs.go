package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cloudwego/hertz/pkg/app"
	"github.com/oklog/ulid/v2"

	"github.com/balsamhitch/balsamhitch/internal/core/findings"
	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/core/request"
	"github.com/balsamhitch/balsamhitch/internal/pb/convert"
	"github.com/balsamhitch/balsamhitch/internal/pb/peerpb"
	"github.com/balsamhitch/balsamhitch/internal/port"
)

// jobCallTimeout limits one call about a job. Repeated calls have no further
// effect, since they carry the same job id.
const jobCallTimeout = 2 * time.Second

// jobPath is the path prefix of jobs. Team names contain no dot; see jobName.
const jobPath = "/v1/jobs/"

// jobName returns the name of a job in paths: its team, a dot and its id.
func jobName(team model.TeamID, id string) string { return string(team) + "." + id }

// splitJobName reverses jobName. It returns false if the name is invalid.
func splitJobName(name string) (model.TeamID, string, bool) {
	dot := strings.LastIndexByte(name, '.')
	if dot <= 0 {
		return "", "", false
	}
	_, err := ulid.ParseStrict(name[dot+1:])
	return model.TeamID(name[:dot]), name[dot+1:], err == nil
}

// postJob accepts a job and answers 202 once it is in the log.
func (s *Server) postJob(_ context.Context, c *app.RequestContext) {
	template, refused := s.authorize(c, model.TeamID(c.Param("workspace")))
	if refused != nil {
		s.stats.refused(teamLabel(template), "key")
		refused.write(c)
		return
	}
	var found findings.List
	headers := s.parseCommonHeaders(c, &found)
	job := parseJob(c.Request.Body(), &found)
	if job.Kind != "" && !template.Allows(job.Kind) {
		found.Add(inBody, 0, "kind", "the workspace template does not allow work of kind %q", job.Kind)
	}
	if len(found) > 0 {
		s.stats.refused(template.Team, reasonName(request.Invalid))
		findingsProblem(found).write(c)
		return
	}
	job.ID = model.JobID(ulid.Make().String())
	job.Team = template.Team
	job.Urgent = template.Urgent
	job.NonIdempotent = headers.nonIdempotent
	job.IdempotencyKey = headers.key
	ctx, cancel := context.WithTimeout(context.Background(), headers.deadline)
	defer cancel()
	s.submit(ctx, c, job)
}

// submit sends the job until an owner gives a final answer. Each attempt carries
// the same id, so the job is accepted once.
func (s *Server) submit(ctx context.Context, c *app.RequestContext, job model.Job) {
	mayBeAccepted := false
	var lastRefusal request.Refusal
	message := &peerpb.Request{Body: &peerpb.Request_SubmitJob{SubmitJob: &peerpb.SubmitJob{Job: convert.JobPB(job)}}}
	reply, err := callOwnerUntil(ctx, s, job.Team, message, func(response *peerpb.Response, err error) bool {
		reply := response.GetSubmitJob()
		if err != nil || reply == nil {
			lastRefusal = noAnswerRefusal("the team's owner", err)
			mayBeAccepted = mayBeAccepted || !port.NotStarted.Has(err)
			return false
		}
		lastRefusal = refusalOf(reply.GetRefusal())
		mayBeAccepted = mayBeAccepted || reply.GetUnknown()
		return !reply.GetUnknown() && (reply.GetRefusal() == nil || !lastRefusal.Transient())
	})
	class := string(job.Kind)
	c.Header("Location", jobPath+jobName(job.Team, string(job.ID)))
	switch {
	case err != nil || reply.GetSubmitJob().GetRefusal() != nil:
		outcome := model.OutcomeNotRun
		if mayBeAccepted {
			outcome = model.OutcomeUnknown
		} else {
			c.Response.Header.Del("Location")
		}
		s.stats.ended(job.Team, class, outcome)
		s.stats.refused(job.Team, reasonName(lastRefusal.Reason))
		refusalProblem(outcome, lastRefusal).write(c)
	default:
		accepted := jobName(job.Team, reply.GetSubmitJob().GetJobId())
		s.stats.ended(job.Team, class, "accepted")
		c.Header("Location", jobPath+accepted)
		writeJSON(c, http.StatusAccepted, acceptedJob{ID: accepted})
	}
}

type acceptedJob struct {
	ID string `json:"id"`
}

// getJob answers with a job's status.
func (s *Server) getJob(_ context.Context, c *app.RequestContext) {
	s.serveJobStatus(c, func(team, id string) *peerpb.Request {
		return &peerpb.Request{Body: &peerpb.Request_GetJob{GetJob: &peerpb.GetJob{Team: team, JobId: id}}}
	})
}

// deleteJob cancels a job and answers with its status. Repeats have no further
// effect.
func (s *Server) deleteJob(_ context.Context, c *app.RequestContext) {
	s.serveJobStatus(c, func(team, id string) *peerpb.Request {
		return &peerpb.Request{Body: &peerpb.Request_CancelJob{CancelJob: &peerpb.CancelJob{Team: team, JobId: id}}}
	})
}

// serveJobStatus sends a message about a job to its team's owner and answers with
// the job's status.
func (s *Server) serveJobStatus(c *app.RequestContext, message func(team, id string) *peerpb.Request) {
	team, id, ok := splitJobName(c.Param("id"))
	if !ok {
		newProblem(request.NotFound, "no such job").write(c)
		return
	}
	if _, refused := s.authorize(c, team); refused != nil {
		refused.write(c)
		return
	}
	var found findings.List
	headers := s.parseCommonHeaders(c, &found)
	if len(found) > 0 {
		findingsProblem(found).write(c)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), headers.deadline)
	defer cancel()
	var lastRefusal request.Refusal
	reply, err := callOwnerUntil(ctx, s, team, message(string(team), id), func(response *peerpb.Response, err error) bool {
		status := response.GetJobStatus()
		if err != nil || status == nil {
			lastRefusal = noAnswerRefusal("the team's owner", err)
			return false
		}
		lastRefusal = refusalOf(status.GetRefusal())
		return status.GetRefusal() == nil || !lastRefusal.Transient()
	})
	if status := reply.GetJobStatus(); err == nil && status.GetRefusal() == nil {
		writeJSON(c, http.StatusOK, newJobReport(status))
		return
	}
	refusalProblem(model.OutcomeUnknown, lastRefusal).write(c)
}

// callOwnerUntil calls the team's owner until accept returns true or ctx is done.
// Each attempt looks the owner up again.
func callOwnerUntil(
	ctx context.Context, s *Server, team model.TeamID, message *peerpb.Request,
	accept func(*peerpb.Response, error) bool,
) (*peerpb.Response, error) {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval = firstBackoff
	delays.MaxInterval = maxBackoff
	return backoff.Retry(ctx, func() (*peerpb.Response, error) {
		call, cancel := context.WithTimeout(ctx, jobCallTimeout)
		defer cancel()
		response, err := s.callOwner(call, model.TeamPartition(team), ownerChangePolicy{}, message)
		if accept(response, err) {
			return response, nil
		}
		return nil, Error.New("no final answer")
	}, backoff.WithBackOff(delays), backoff.WithMaxElapsedTime(0))
}

// jobReport is the response body of GET and DELETE of a job.
type jobReport struct {
	ID      string `json:"id"`
	Team    string `json:"team"`
	Kind    string `json:"kind"`
	State   string `json:"state"`
	Detail  string `json:"detail,omitempty"`
	Tasks   int32  `json:"tasks"`
	Waiting int32  `json:"waiting"`
	Running int32  `json:"running"`
	Done    int32  `json:"done"`
	Failed  int32  `json:"failed"`
}

func newJobReport(status *peerpb.JobStatus) jobReport {
	job := status.GetJob()
	return jobReport{
		ID:      jobName(model.TeamID(job.GetTeam()), job.GetId()),
		Team:    job.GetTeam(),
		Kind:    job.GetKind(),
		State:   status.GetState(),
		Detail:  status.GetDetail(),
		Tasks:   job.GetTasks(),
		Waiting: status.GetWaiting(),
		Running: status.GetRunning(),
		Done:    status.GetDone(),
		Failed:  status.GetFailed(),
	}
}

func writeJSON(c *app.RequestContext, status int, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		c.SetStatusCode(http.StatusInternalServerError)
		return
	}
	c.Data(status, jsonContentType, data)
}
