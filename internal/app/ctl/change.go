package ctl

import (
	"context"
	"errors"

	"github.com/balsamhitch/balsamhitch/internal/core/config"
)

// Report is what a command that changes the configuration prints.
type Report struct {
	Changes []Outcome `json:"changes"`
	InForce bool      `json:"in_force"` // on every member; false if the command did not wait
	// ID and Key are set for an issued key.
	ID  config.KeyID `json:"id,omitempty"`
	Key string       `json:"key,omitempty"`
}

// planner returns the changes to publish, given the current configuration, and
// the outcomes of changes that need no record.
type planner func(current *config.Snapshot) (changes []config.Change, unpublished []Outcome, err error)

// change publishes the changes of the plan and, if c.Wait is set, waits until they
// are in force.
func (c *Client) change(ctx context.Context, plan planner) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	fold, err := c.load(ctx)
	if err != nil {
		return Report{}, err
	}
	changes, unpublished, err := plan(fold.Snapshot())
	report := Report{Changes: unpublished}
	if err != nil {
		return report, err
	}
	outcomes, err := c.publish(ctx, fold, changes)
	if err != nil {
		return report, err
	}
	report.Changes = append(report.Changes, outcomes...)
	newest, rejected := summarize(report.Changes)
	if c.Wait && newest > 0 {
		err = c.waitInForce(ctx, newest)
		report.InForce = err == nil
	}
	return report, errors.Join(rejected, err)
}

// summarize returns the newest revision of the successful outcomes and the errors
// of the others, joined.
func summarize(outcomes []Outcome) (uint64, error) {
	var newest uint64
	var rejected []error
	for _, o := range outcomes {
		if err := o.err(); err != nil {
			rejected = append(rejected, err)
			continue
		}
		newest = max(newest, o.Revision)
	}
	return newest, errors.Join(rejected...)
}

// planSingle returns a planner of one change.
func planSingle(change config.Change) planner {
	return func(*config.Snapshot) ([]config.Change, []Outcome, error) {
		return []config.Change{change}, nil, nil
	}
}
