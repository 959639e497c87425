package ctl

import (
	"context"

	"github.com/oklog/ulid/v2"

	"github.com/balsamhitch/balsamhitch/internal/core/config"
	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

// IssueKey creates a key of a team and prints it. Only its hash is stored, so the
// key cannot be printed again. It is not printed if the outcome is unknown.
func (c *Client) IssueKey(ctx context.Context, team model.TeamID) error {
	keyULID := ulid.Make()
	id := config.KeyID(keyULID.String())
	key, hash, err := config.NewKey(keyULID, c.Random)
	if err != nil {
		return Failure.Wrap(err)
	}
	report, err := c.change(ctx, planSingle(config.IssueKey(team, id, hash)))
	if Unknown.Has(err) {
		return Unknown.New("%w; the key is not shown; withdraw %s once the log is available", err, id)
	}
	if newest, _ := summarize(report.Changes); newest > 0 {
		report.ID, report.Key = id, key
	}
	return c.print(report, err)
}

// WithdrawKeys withdraws keys; they are no longer accepted.
func (c *Client) WithdrawKeys(ctx context.Context, ids []config.KeyID) error {
	report, err := c.change(ctx, func(*config.Snapshot) ([]config.Change, []Outcome, error) {
		changes := make([]config.Change, len(ids))
		for i, id := range ids {
			changes[i] = config.WithdrawKey(id)
		}
		return changes, nil, nil
	})
	return c.print(report, err)
}

// keyLine is one valid key.
type keyLine struct {
	ID       config.KeyID `json:"id"`
	Team     model.TeamID `json:"team"`
	Revision uint64       `json:"revision"`
}

// ListKeys prints the valid keys, only those of team unless it is empty.
func (c *Client) ListKeys(ctx context.Context, team model.TeamID) error {
	fold, err := c.load(ctx)
	if err != nil {
		return err
	}
	lines := []keyLine{}
	rows := [][]string{{"KEY", "TEAM", "REVISION"}}
	for _, k := range fold.Snapshot().Keys() {
		if team == "" || k.Team == team {
			lines = append(lines, keyLine{ID: k.ID, Team: k.Team, Revision: k.Revision})
			rows = append(rows, []string{string(k.ID), string(k.Team), formatUint(k.Revision)})
		}
	}
	if c.JSON {
		return c.printJSON(lines)
	}
	return c.printTable(rows)
}
