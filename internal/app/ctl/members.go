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
	// askTimeout bounds one question to a member.
	askTimeout = time.Second
	// askEvery is the time between rounds of questions while waiting.
	askEvery = 100 * time.Millisecond
)

// memberAnswer is what one entry VM's scheduler said.
type memberAnswer struct {
	vm     model.VM
	status *peerpb.MemberStatus // nil if it did not answer
	err    error
}

// askMembers asks the schedulers of all entry VMs on the VM list.
func (c *Client) askMembers(ctx context.Context) ([]memberAnswer, error) {
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
		calls.Go(func() { c.askMember(ctx, &answers[i]) })
	}
	calls.Wait()
	return answers, nil
}

func (c *Client) askMember(ctx context.Context, a *memberAnswer) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	response, err := c.Peer.Call(ctx, a.vm.Address, &peerpb.Request{
		Body: &peerpb.Request_StatusQuery{StatusQuery: &peerpb.StatusQuery{}},
	})
	a.status = response.GetMemberStatus()
	a.err = err
	if err == nil && a.status == nil {
		a.err = Failure.New("the answer holds no status")
	}
}

// waitInForce waits until every member has the revision. A VM that is leaving
// counts only if it answers.
func (c *Client) waitInForce(ctx context.Context, revision uint64) error {
	last := ""
	for {
		answers, err := c.askMembers(ctx)
		if ctx.Err() != nil {
			return NotInForce.New("revision %d: %s", revision, orUnknown(last))
		}
		if err == nil {
			progress, done := progressOf(answers, revision)
			if progress != last {
				c.note("revision %d: %s", revision, progress)
				last = progress
			}
			if done {
				return nil
			}
		}
		if !pause(ctx, askEvery) {
			return NotInForce.New("revision %d: %s", revision, orUnknown(last))
		}
	}
}

func orUnknown(progress string) string {
	if progress == "" {
		return "no member could be asked"
	}
	return progress
}

// progressOf describes how many members have the revision and names those that
// have not.
func progressOf(answers []memberAnswer, revision uint64) (string, bool) {
	have, need := 0, 0
	var waiting []string
	for _, a := range answers {
		if a.status == nil && a.vm.Leaving {
			continue
		}
		need++
		switch {
		case a.status == nil:
			waiting = append(waiting, fmt.Sprintf("%s does not answer", a.vm.ID))
		case a.status.GetConfigRevision() < revision:
			waiting = append(waiting, fmt.Sprintf("%s has revision %d", a.vm.ID, a.status.GetConfigRevision()))
		default:
			have++
		}
	}
	progress := fmt.Sprintf("in force on %d of %d members", have, need)
	if len(waiting) > 0 {
		progress += " (" + strings.Join(waiting, ", ") + ")"
	}
	return progress, have == need && need > 0
}
