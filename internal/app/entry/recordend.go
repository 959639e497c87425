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
	// recordEndTimeout limits the attempts to record the end of a request with the
	// team's owner, including the time of takeovers.
	recordEndTimeout     = 15 * time.Second
	recordEndCallTimeout = 2 * time.Second
)

// recordEnd sends the result of a request to the team's owner, so that a caller
// who repeats the request with the same key gets the same answer. Requests
// without a key can't be recognized as repeats and are not recorded.
func (s *Server) recordEnd(q *quick, result request.Result) {
	if q.IdempotencyKey == "" || result.Replayed || result.Refusal.Reason == request.Conflict {
		return
	}
	s.endsInFlight.Add(1)
	err := s.endRecorders.Submit(func() {
		defer s.endsInFlight.Done()
		s.sendEnd(q, result)
	})
	if err != nil {
		s.endsInFlight.Done()
		s.stats.unrecorded()
	}
}

// sendEnd sends the result of a request to the team's owner until it is recorded
// or recordEndTimeout has passed.
func (s *Server) sendEnd(q *quick, result request.Result) {
	ctx, cancel := context.WithTimeout(context.Background(), recordEndTimeout)
	defer cancel()
	message := &peerpb.Request{Body: &peerpb.Request_FinishQuick{FinishQuick: &peerpb.FinishQuick{
		Team:           string(q.Team),
		RequestId:      string(q.ID),
		IdempotencyKey: q.IdempotencyKey,
		Outcome:        string(result.Outcome),
		Answer:         recordedAnswer(q, result),
	}}}
	_, err := backoff.Retry(ctx, func() (struct{}, error) {
		return struct{}{}, s.trySendEnd(ctx, q.Team, message)
	}, backoff.WithBackOff(backoff.NewExponentialBackOff()))
	if err != nil {
		s.stats.unrecorded()
		s.logger.WithError(err).WithField("request", q.ID).Warn("recording the end of a request failed; giving up")
	}
}

// recordedAnswer returns the answer to store. It is nil if the entry generated
// the key, since no caller knows that key.
func recordedAnswer(q *quick, result request.Result) *peerpb.Answer {
	if !q.callerKey {
		return nil
	}
	return convert.AnswerPB(result.Answer)
}

func (s *Server) trySendEnd(ctx context.Context, team model.TeamID, message *peerpb.Request) error {
	ctx, cancel := context.WithTimeout(ctx, recordEndCallTimeout)
	defer cancel()
	response, err := s.callOwner(ctx, model.TeamPartition(team), ownerChangePolicy{}, message)
	if err != nil {
		return err
	}
	if refusal := response.GetAck().GetRefusal(); refusal != nil {
		return Error.New("team owner refused the record: %s", refusal.GetDetail())
	}
	return nil
}
