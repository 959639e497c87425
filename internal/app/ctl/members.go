package ctl

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/pb/peerpb"
)

const (
	// queryTimeout is the timeout of one status query to a member.
	queryTimeout = time.Second
	// pollInterval is the time between rounds of queries while waiting.
	pollInterval = 100 * time.Millisecond
)

// memberAnswer is the answer of one entry VM's scheduler.
type memberAnswer struct {
	vm     model.VM
	status *peerpb.MemberStatus // nil if it did not answer
	err    error                // why status is nil
}

// queryMembers queries the schedulers of all entry VMs on the VM list for their
// status.
func (c *Client) queryMembers(ctx context.Context) ([]memberAnswer, error) {
	vms, err := c.VMList.List(ctx)
	if err != nil {
		return nil, Failure.New("the VM list cannot be read: %w", err)
	}
	var answers []memberAnswer
	for _, vm := range vms {
		if vm.Role == model.RoleEntry {
			answers = append(answers, memberAnswer{vm: vm})
		}
	}
	var calls sync.WaitGroup
	for i := range answers {
		calls.Go(func() { c.queryMember(ctx, &answers[i]) })
	}
	calls.Wait()
	return answers, nil
}

func (c *Client) queryMember(ctx context.Context, a *memberAnswer) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	response, err := c.Peer.Call(ctx, a.vm.Address, &peerpb.Request{
		Body: &peerpb.Request_StatusQuery{StatusQuery: &peerpb.StatusQuery{}},
	})
	a.status = response.GetMemberStatus()
	a.err = err
	if err == nil && a.status == nil {
		a.err = Failure.New("the answer contains no status")
	}
}

// waitInForce waits until every member has the revision. VMs that are leaving and
// do not answer are not waited for.
func (c *Client) waitInForce(ctx context.Context, revision uint64) error {
	last := ""
	for {
		answers, err := c.queryMembers(ctx)
		if ctx.Err() != nil {
			return NotInForce.New("revision %d: %s", revision, progressOrUnreachable(last))
		}
		if err == nil {
			progress, done := progressOf(answers, revision)
			if progress != last {
				c.progressf("revision %d: %s", revision, progress)
				last = progress
			}
			if done {
				return nil
			}
		}
		if !sleep(ctx, pollInterval) {
			return NotInForce.New("revision %d: %s", revision, progressOrUnreachable(last))
		}
	}
}

func progressOrUnreachable(progress string) string {
	if progress == "" {
		return "no member could be queried"
	}
	return progress
}

// progressOf returns a message with the number of members that have the revision
// and the names of those that do not, and whether all have it.
func progressOf(answers []memberAnswer, revision uint64) (string, bool) {
	have, need := 0, 0
	var missing []string
	for _, a := range answers {
		if a.status == nil && a.vm.Leaving {
			continue
		}
		need++
		switch {
		case a.status == nil:
			missing = append(missing, fmt.Sprintf("%s does not answer", a.vm.ID))
		case a.status.GetConfigRevision() < revision:
			missing = append(missing, fmt.Sprintf("%s has revision %d", a.vm.ID, a.status.GetConfigRevision()))
		default:
			have++
		}
	}
	progress := fmt.Sprintf("in force on %d of %d members", have, need)
	if len(missing) > 0 {
		progress += " (" + strings.Join(missing, ", ") + ")"
	}
	return progress, have == need && need > 0
}
