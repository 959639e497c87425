package ctl

import (
	"context"

	"github.com/oklog/ulid/v2"

	"github.com/balsamhitch/balsamhitch/internal/core/config"
	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

// IssueKey makes a key of a team and prints it, which is the only time that
// anyone sees it.
func (c *Client) IssueKey(ctx context.Context, team model.TeamID) error {
	ulidOfKey := ulid.Make()
	id := config.KeyID(ulidOfKey.String())
	key, hash, err := config.NewKey(ulidOfKey, c.Random)
	if err != nil {
		return Failure.Wrap(err)
	}
	report, err := c.change(ctx, single(config.IssueKey(team, id, hash)))
	if Unknown.Has(err) {
		return Unknown.New("%w; the key is not shown, withdraw %s once the log answers", err, id)
	}
	if newest, _ := summarize(report.Changes); newest > 0 {
		report.ID, report.Key = id, key
	}
	return c.print(report, err)
}

// WithdrawKeys ends the use of keys.
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

// keyLine is a key in use as it is listed.
type keyLine struct {
	ID       config.KeyID `json:"id"`
	Team     model.TeamID `json:"team"`
	Revision uint64       `json:"revision"`
}

// ListKeys prints the keys in use, of one team if that is not empty.
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
			rows = append(rows, []string{string(k.ID), string(k.Team), number(k.Revision)})
		}
	}
	if c.JSON {
		return c.printJSON(lines)
	}
	return c.printTable(rows)
}
