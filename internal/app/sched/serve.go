package sched

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/balsamhitch/balsamhitch/internal/app/host"
	"github.com/balsamhitch/balsamhitch/internal/app/teamowner"
	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/pb/peerpb"
)

const (
	// summariesEvery is the time between reports of changed partitions to the
	// other members.
	summariesEvery = 100 * time.Millisecond
	// unchangedEvery is the time between reports of everything.
	unchangedEvery = time.Second
	// summariesTimeout bounds the sending of one report.
	summariesTimeout = time.Second
)

// Serve answers the calls of other processes.
func (s *Sched) Serve(ctx context.Context, request *peerpb.Request) *peerpb.Response {
	switch body := request.GetBody().(type) {
	case *peerpb.Request_Summaries:
		s.hear(body.Summaries)
		return host.Ack(nil)
	case *peerpb.Request_StatusQuery:
		return &peerpb.Response{Body: &peerpb.Response_MemberStatus{MemberStatus: s.status()}}
	case *peerpb.Request_ConfigQuery:
		return &peerpb.Response{Body: &peerpb.Response_Config{Config: s.config.Answer(body.ConfigQuery)}}
	}
	if response, ok := s.member.ServePeer(ctx, request); ok {
		return response
	}
	return s.manager.Serve(ctx, request)
}

// hear takes over another member's report.
func (s *Sched) hear(report *peerpb.Summaries) {
	s.summaries.add(report.GetPartitions())
	s.summaries.addDemands(report.GetDemands())
	age := time.Duration(report.GetConfigAgeMs()) * time.Millisecond
	s.config.ObserveRevision(report.GetConfigRevision(), age, model.MemberID(report.GetMember()))
}

// others returns the peer addresses of the others that may read the log. It
// reports false while the members are not known.
func (s *Sched) others() ([]string, bool) {
	members := s.member.Members()
	view := make([]string, len(members))
	for i, member := range members {
		view[i] = member.Address
	}
	return s.roster.Others(s.address, view, s.listed()), len(members) > 0 && s.listRead()
}

// status describes this member for operators.
func (s *Sched) status() *peerpb.MemberStatus {
	status := &peerpb.MemberStatus{
		Member:         string(s.id),
		ConfigRevision: s.config.Snapshot().Revision(),
		Ready:          s.Ready(),
	}
	s.manager.Each(func(id model.PartitionID, partition host.Partition) {
		summary := partition.Summary()
		if summary == nil {
			// Held without capacity of its own, as a team's or the system's.
			_, epoch, _ := s.member.Owner(id)
			summary = &peerpb.PartitionSummary{Partition: string(id), Epoch: uint64(epoch)}
		}
		status.Partitions = append(status.Partitions, summary)
		if owner, ok := partition.(*teamowner.Owner); ok {
			status.Teams = append(status.Teams, owner.Status())
		}
	})
	return status
}

// reporter sends the summaries of changed partitions often and all of them now
// and then.
type reporter struct {
	sent   map[string]*peerpb.PartitionSummary
	fullAt time.Duration
}

// due returns what must be reported now.
func (r *reporter) due(own []*peerpb.PartitionSummary, now time.Duration) ([]*peerpb.PartitionSummary, bool) {
	if now >= r.fullAt {
		r.fullAt = now + unchangedEvery
		r.remember(own)
		return own, true
	}
	var changed []*peerpb.PartitionSummary
	for _, summary := range own {
		if !proto.Equal(summary, r.sent[summary.GetPartition()]) {
			changed = append(changed, summary)
		}
	}
	r.remember(own)
	return changed, len(changed) > 0
}

func (r *reporter) remember(own []*peerpb.PartitionSummary) {
	r.sent = make(map[string]*peerpb.PartitionSummary, len(own))
	for _, summary := range own {
		r.sent[summary.GetPartition()] = summary
	}
}

// summariesLoop reports free capacity to the other members.
func (s *Sched) summariesLoop(ctx context.Context) {
	ticker := time.NewTicker(summariesEvery)
	defer ticker.Stop()
	var reports reporter
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		own := s.manager.Summaries()
		demands := s.manager.Demands()
		s.summaries.add(own)
		s.summaries.addDemands(demands)
		if changed, ok := reports.due(own, s.clock.Now()); ok {
			s.sendSummaries(ctx, changed, demands)
		}
	}
}

func (s *Sched) sendSummaries(ctx context.Context, summaries []*peerpb.PartitionSummary, demands []*peerpb.TeamDemand) {
	report := &peerpb.Request{Body: &peerpb.Request_Summaries{Summaries: &peerpb.Summaries{
		Member:         string(s.id),
		Partitions:     summaries,
		Demands:        demands,
		ConfigRevision: s.config.Snapshot().Revision(),
		ConfigAgeMs:    s.config.Age().Milliseconds(),
	}}}
	for _, member := range s.member.Members() {
		if member.ID == s.id {
			continue
		}
		address := member.Address
		// A report that cannot be sent is followed by the next one.
		_ = s.pool.Submit(func() {
			ctx, cancel := context.WithTimeout(ctx, summariesTimeout)
			defer cancel()
			_, _ = s.peer.Call(ctx, address, report)
		})
	}
}

// wanted returns the partitions that must exist: one for each team, rack and
// target group, and the system's.
func (s *Sched) wanted() []model.PartitionID {
	seen := map[model.PartitionID]bool{model.SystemPartition: true}
	for _, team := range s.config.Snapshot().Teams() {
		seen[model.TeamPartition(team)] = true
	}
	for _, vm := range s.listed() {
		if id := vm.Partition(); id != "" {
			seen[id] = true
		}
	}
	ids := make([]model.PartitionID, 0, len(seen))
	for id := range seen {
		ids = append(ids, id)
	}
	return ids
}
