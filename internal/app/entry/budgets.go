package entry

import (
	"sync"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/core/retry"
)

// budgets bounds each team's repeated sends. Each team has its own lock.
type budgets struct {
	teams sync.Map // model.TeamID to *teamBudget
}

type teamBudget struct {
	mu     sync.Mutex
	budget *retry.Budget
}

func newBudgets() *budgets { return &budgets{} }

func (b *budgets) of(team model.TeamID) *teamBudget {
	if found, ok := b.teams.Load(team); ok {
		return found.(*teamBudget)
	}
	found, _ := b.teams.LoadOrStore(team, &teamBudget{budget: retry.NewBudget(retry.BudgetPolicy{})})
	return found.(*teamBudget)
}

func (b *budgets) attempted(team model.TeamID) {
	t := b.of(team)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.budget.RecordAttempt()
}

func (b *budgets) take(team model.TeamID) bool {
	t := b.of(team)
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.budget.Allow()
}
