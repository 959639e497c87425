package ctl

import (
	"context"
	"errors"

	"github.com/balsamhitch/balsamhitch/internal/core/config"
)

// Report is what a command that changes the configuration prints.
type Report struct {
	Changes []Outcome `json:"changes"`
	InForce bool      `json:"in_force"` // on every member, as far as was waited for
	// ID and Key are those of an issued key.
	ID  config.KeyID `json:"id,omitempty"`
	Key string       `json:"key,omitempty"`
}

// planner decides on the changes by the present configuration. It may return
// outcomes of changes that need no record.
type planner func(now *config.Snapshot) (changes []config.Change, settled []Outcome, err error)

// change publishes what the plan wants and waits until it is in force.
func (c *Client) change(ctx context.Context, plan planner) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	fold, err := c.load(ctx)
	if err != nil {
		return Report{}, err
	}
	changes, settled, err := plan(fold.Snapshot())
	report := Report{Changes: settled}
	if err != nil {
		return report, err
	}
	outcomes, err := c.publish(ctx, fold, changes)
	if err != nil {
		return report, err
	}
	report.Changes = append(report.Changes, outcomes...)
	newest, lost := summarize(report.Changes)
	if c.Wait && newest > 0 {
		err = c.waitInForce(ctx, newest)
		report.InForce = err == nil
	}
	return report, errors.Join(lost, err)
}

// summarize returns the newest revision that stands and the errors of those
// that do not.
func summarize(outcomes []Outcome) (uint64, error) {
	var newest uint64
	var lost []error
	for _, o := range outcomes {
		if err := o.err(); err != nil {
			lost = append(lost, err)
			continue
		}
		newest = max(newest, o.Revision)
	}
	return newest, errors.Join(lost...)
}

// single plans one change.
func single(change config.Change) planner {
	return func(*config.Snapshot) ([]config.Change, []Outcome, error) {
		return []config.Change{change}, nil, nil
	}
}
