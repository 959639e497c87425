package entry

import (
	"bytes"
	"context"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/oklog/ulid/v2"

	"github.com/balsamhitch/balsamhitch/internal/core/findings"
	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/core/request"
)

// quick is a quick request that this entry is serving.
type quick struct {
	model.Request
	callerKey bool // the caller chose the idempotency key
	arrived   time.Duration
	class     string
}

// postRequest answers a quick request on the caller's connection.
func (s *Server) postRequest(_ context.Context, c *app.RequestContext) {
	arrived := s.options.Clock.Now()
	team := model.TeamID(c.Param("workspace"))
	template, refused := s.authorize(c, team)
	if refused != nil {
		s.stats.refused(teamLabel(template), "key")
		refused.write(c)
		return
	}
	q, found := s.parseQuick(c, template)
	if len(found) > 0 {
		s.stats.refused(team, reasonName(request.Invalid))
		findingsProblem(found).write(c)
		return
	}
	q.arrived = arrived
	// The request continues if its caller disconnects; only its deadline ends it.
	ctx, cancel := context.WithDeadline(context.Background(), q.Deadline)
	defer cancel()
	result := s.drive(ctx, q)
	s.stats.ended(team, q.class, result.Outcome)
	s.recordEnd(q, result)
	s.answer(c, q, result)
}

// teamLabel returns the team for metrics. It is empty for unknown workspaces, so
// that callers can't add labels.
func teamLabel(template model.WorkspaceTemplate) model.TeamID { return template.Team }

func (s *Server) parseQuick(c *app.RequestContext, template model.WorkspaceTemplate) (*quick, findings.List) {
	var found findings.List
	headers := s.parseCommonHeaders(c, &found)
	service := parseService(c, template, &found)
	if !template.Allows(model.WorkQuick) {
		found.Add(inPath, 0, "workspace", "its template does not allow quick requests")
	}
	id := ulid.Make().String()
	q := &quick{
		Request: model.Request{
			ID:             model.RequestID(id),
			Team:           template.Team,
			Service:        service,
			IdempotencyKey: headers.key,
			NonIdempotent:  headers.nonIdempotent,
			Urgent:         template.Urgent,
			Deadline:       time.Now().Add(headers.deadline),
			Body:           bytes.Clone(c.Request.Body()), // hertz reuses its buffer
			ContentType:    string(c.ContentType()),
		},
		callerKey: headers.key != "",
		class:     classOf(template.Urgent),
	}
	if q.NonIdempotent && !q.callerKey {
		// A new ULID lets the team's owner admit the request while the log is down.
		q.IdempotencyKey = id
	}
	return q, found
}

func (s *Server) answer(c *app.RequestContext, q *quick, result request.Result) {
	c.Header(headerRequest, string(q.ID))
	if result.Replayed {
		c.Header(headerReplayed, "true")
	}
	switch result.Outcome {
	case model.OutcomeDone, model.OutcomeFailed:
		c.Header(headerOutcome, string(result.Outcome))
		c.Data(result.Answer.Status, result.Answer.ContentType, result.Answer.Body)
	default:
		s.stats.refused(q.Team, reasonName(result.Refusal.Reason))
		refusalProblem(result.Outcome, result.Refusal).write(c)
	}
}
