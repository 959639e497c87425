package entry

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/core/request"
	"github.com/balsamhitch/balsamhitch/internal/pb/convert"
	"github.com/balsamhitch/balsamhitch/internal/pb/peerpb"
)

const (
	// finishTime is how long the end of a request is offered to the team's
	// owner, takeovers included.
	finishTime     = 15 * time.Second
	finishCallTime = 2 * time.Second
)

// recordEnd tells the team's owner how a request ended, so that a caller who
// asks again with the same key gets the same answer. Requests without a key
// can't be asked for again.
func (s *Server) recordEnd(q *quick, result request.Result) {
	if q.IdempotencyKey == "" || result.Replayed || result.Refusal.Reason == request.Conflict {
		return
	}
	s.finishes.Add(1)
	err := s.finisher.Submit(func() {
		defer s.finishes.Done()
		s.finish(q, result)
	})
	if err != nil {
		s.finishes.Done()
		s.stats.unrecorded()
	}
}

func (s *Server) finish(q *quick, result request.Result) {
	ctx, cancel := context.WithTimeout(context.Background(), finishTime)
	defer cancel()
	message := &peerpb.Request{Body: &peerpb.Request_FinishQuick{FinishQuick: &peerpb.FinishQuick{
		Team:           string(q.Team),
		RequestId:      string(q.ID),
		IdempotencyKey: q.IdempotencyKey,
		Outcome:        string(result.Outcome),
		Answer:         recordedAnswer(q, result),
	}}}
	_, err := backoff.Retry(ctx, func() (struct{}, error) {
		return struct{}{}, s.tryFinish(ctx, q.Team, message)
	}, backoff.WithBackOff(backoff.NewExponentialBackOff()))
	if err != nil {
		s.stats.unrecorded()
		s.logger.WithError(err).WithField("request", q.ID).Warn("The end of a request was not recorded.")
	}
}

// recordedAnswer returns the answer to keep. A key that the entry made is
// known to no caller.
func recordedAnswer(q *quick, result request.Result) *peerpb.Answer {
	if !q.callerKey {
		return nil
	}
	return convert.AnswerPB(result.Answer)
}

func (s *Server) tryFinish(ctx context.Context, team model.TeamID, message *peerpb.Request) error {
	ctx, cancel := context.WithTimeout(ctx, finishCallTime)
	defer cancel()
	response, err := s.callOwner(ctx, model.TeamPartition(team), takeoverPatience{}, message)
	if err != nil {
		return err
	}
	if refusal := response.GetAck().GetRefusal(); refusal != nil {
		return Error.New("refused: %s", refusal.GetDetail())
	}
	return nil
}
