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

// memberResponse is the response of the scheduler on one entry VM.
type memberResponse struct {
	vm     model.VM
	status *peerpb.MemberStatus // nil if there is no response
	err    error                // why status is nil
}

// queryMembers queries the schedulers of all entry VMs on the VM list for their
// status.
func (c *Client) queryMembers(ctx context.Context) ([]memberResponse, error) {
	vms, err := c.VMList.List(ctx)
	if err != nil {
		return nil, Failure.New("the VM list cannot be read: %w", err)
	}
	var responses []memberResponse
	for _, vm := range vms {
		if vm.Role == model.RoleEntry {
			responses = append(responses, memberResponse{vm: vm})
		}
	}
	var calls sync.WaitGroup
	for i := range responses {
		calls.Go(func() { c.queryMember(ctx, &responses[i]) })
	}
	calls.Wait()
	return responses, nil
}

func (c *Client) queryMember(ctx context.Context, r *memberResponse) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	response, err := c.Peer.Call(ctx, r.vm.Address, &peerpb.Request{
		Body: &peerpb.Request_StatusQuery{StatusQuery: &peerpb.StatusQuery{}},
	})
	r.status = response.GetMemberStatus()
	r.err = err
	if err == nil && r.status == nil {
		r.err = Failure.New("the response contains no status")
	}
}

// waitInForce waits until every member has the revision. VMs that are leaving and
// do not answer are not waited for.
func (c *Client) waitInForce(ctx context.Context, revision uint64) error {
	last := ""
	for {
		responses, err := c.queryMembers(ctx)
		if ctx.Err() != nil {
			return NotInForce.New("revision %d: %s", revision, progressOrUnreachable(last))
		}
		if err == nil {
			progress, done := progressOf(responses, revision)
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
func progressOf(responses []memberResponse, revision uint64) (string, bool) {
	have, need := 0, 0
	var missing []string
	for _, r := range responses {
		if r.status == nil && r.vm.Leaving {
			continue
		}
		need++
		switch {
		case r.status == nil:
			missing = append(missing, fmt.Sprintf("%s does not answer", r.vm.ID))
		case r.status.GetConfigRevision() < revision:
			missing = append(missing, fmt.Sprintf("%s has revision %d", r.vm.ID, r.status.GetConfigRevision()))
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
