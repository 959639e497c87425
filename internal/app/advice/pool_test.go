package advice

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/balsamhitch/balsamhitch/internal/core/dispatch"
	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/pb/peerpb"
	"github.com/balsamhitch/balsamhitch/internal/port/porttest"
)

// helpers answers in the name of the nodes; those that are silent never do.
type helpers struct {
	takes  time.Duration
	silent map[string]bool
	asked  map[string]int
}

func (h *helpers) Call(ctx context.Context, address string, _ *peerpb.Request) (*peerpb.Response, error) {
	h.asked[address]++
	if h.silent[address] {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	time.Sleep(h.takes)
	return &peerpb.Response{Body: &peerpb.Response_Advice{Advice: &peerpb.AdviceReply{
		Approved: []*peerpb.AdviceReply_Approval{{Worker: "w", Ticket: "t"}}, ValidityMs: 1000,
	}}}, nil
}

type busyAdvisor struct{ takes time.Duration }

func (a busyAdvisor) Advise(context.Context, dispatch.AdviceRequest) ([]dispatch.Approval, time.Duration, error) {
	time.Sleep(a.takes)
	return []dispatch.Approval{{Worker: "w", Ticket: "t"}}, time.Second, nil
}

func TestASilentNodeHoldsUpFewQuestions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const takes = 12 * time.Millisecond
		nodes := &helpers{takes: takes, silent: map[string]bool{"b": true}, asked: map[string]int{}}
		p := &Pool{
			Node: "self", Local: busyAdvisor{takes}, Peers: nodes, Clock: porttest.NewClock(nil, time.Hour, 0),
			Members: func() map[string]string { return map[string]string{"a": "a", "b": "b", "c": "c"} },
		}
		slow, longest := 0, time.Duration(0)
		for range 200 {
			began := time.Now()
			approved, _, err := p.Advise(t.Context(), dispatch.AdviceRequest{Workers: []model.VMID{"w"}, ExpectedLatency: takes})
			require.NoError(t, err)
			assert.Len(t, approved, 1)
			took := time.Since(began)
			longest = max(longest, took)
			if took > 2*takes {
				slow++
			}
		}
		assert.LessOrEqual(t, longest, 250*time.Millisecond, "an urgent step waits for little more than the policy")
		assert.LessOrEqual(t, slow, 2, "questions that a silent node held up within 2.4 s")
	})
}
