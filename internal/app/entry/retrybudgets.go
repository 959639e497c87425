package entry

import (
	"sync"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/core/retry"
)

// retryBudgets limits how often the requests of each team are sent again. Each
// team has its own lock.
type retryBudgets struct {
	teams sync.Map // model.TeamID to *teamRetryBudget
}

type teamRetryBudget struct {
	mu     sync.Mutex
	budget *retry.Budget
}

func newRetryBudgets() *retryBudgets { return &retryBudgets{} }

func (b *retryBudgets) forTeam(team model.TeamID) *teamRetryBudget {
	if value, ok := b.teams.Load(team); ok {
		return value.(*teamRetryBudget)
	}
	value, _ := b.teams.LoadOrStore(team, &teamRetryBudget{budget: retry.NewBudget(retry.BudgetPolicy{})})
	return value.(*teamRetryBudget)
}

func (b *retryBudgets) recordAttempt(team model.TeamID) {
	t := b.forTeam(team)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.budget.RecordAttempt()
}

func (b *retryBudgets) allow(team model.TeamID) bool {
	t := b.forTeam(team)
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.budget.Allow()
}
