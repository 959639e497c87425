package configwatch

import (
	"context"
	"sync"
	"time"

	"github.com/balsamhitch/balsamhitch/internal/core/config"
	"github.com/balsamhitch/balsamhitch/internal/pb/peerpb"
	"github.com/balsamhitch/balsamhitch/internal/port"
)

// recentlyConfirmed reports whether the snapshot was recently confirmed to be
// current by a read of the log, of this process or of another member. It turns
// false well before the confirmation expires, so that, before service is
// interrupted, the members can establish that none of them reads the log.
func (w *Watcher) recentlyConfirmed() bool { return w.Age() <= w.opt.FreshFor/2 }

// followMembers periodically queries the members while the log alone does not
// keep the snapshot current. It returns when the context is done.
func (w *Watcher) followMembers(ctx context.Context) {
	if w.opt.Peer == nil {
		return
	}
	ticker := time.NewTicker(w.opt.FreshFor / 4)
	defer ticker.Stop()
	behind := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		// A newer revision usually arrives from the log within the period.
		wasBehind := behind
		behind = w.reportedRevision.Load() > w.Snapshot().Revision()
		// While reads of the log fail, changes arrive only from the members;
		// a confirmation by a member must not stop further queries.
		if !w.recentlyConfirmed() || w.readFailing.Load() || (behind && wasBehind) {
			w.queryMembers(ctx)
		}
	}
}

// queryMembers queries all members concurrently. Each reply is applied when it
// arrives.
func (w *Watcher) queryMembers(ctx context.Context) {
	addresses, known := w.opt.Members()
	sent := w.opt.Clock.Now()
	replies := make([]*peerpb.ConfigReply, len(addresses))
	var calls sync.WaitGroup
	for i, address := range addresses {
		calls.Go(func() {
			replies[i] = w.queryMember(ctx, address)
			w.applyReply(replies[i], sent)
		})
	}
	calls.Wait()
	if known && w.noMemberReadsLog(replies) {
		w.assumeCurrent(sent)
	}
}

// queryMember returns the member's reply, or nil if the call failed.
func (w *Watcher) queryMember(ctx context.Context, address string) *peerpb.ConfigReply {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	response, err := w.opt.Peer.Call(ctx, address, &peerpb.Request{Body: &peerpb.Request_ConfigQuery{
		ConfigQuery: &peerpb.ConfigQuery{Revision: w.Snapshot().Revision()},
	}})
	if err != nil {
		return nil
	}
	return response.GetConfig()
}

// applyReply applies a newer configuration from the reply to a query sent at the
// given clock reading, and the confirmation that the configuration is current.
func (w *Watcher) applyReply(reply *peerpb.ConfigReply, sent time.Duration) {
	if !reply.GetReady() {
		return
	}
	if reply.GetRevision() > w.Snapshot().Revision() || !w.Ready() {
		w.applyConfig(reply)
	}
	if reply.GetReadable() {
		w.confirmCurrent(reply.GetRevision(), sent-time.Duration(reply.GetAgeMs())*time.Millisecond)
	}
}

func (w *Watcher) applyConfig(reply *peerpb.ConfigReply) {
	if len(reply.GetCheckpoint()) > 0 {
		fold, err := config.Unmarshal(reply.GetCheckpoint())
		if err != nil {
			w.opt.Logger.WithError(err).Warn("configuration from a member cannot be decoded; ignoring it")
			return
		}
		w.install(fold)
		return
	}
	if !w.Ready() {
		return
	}
	records := make([]port.Record, len(reply.GetEntries()))
	for i, e := range reply.GetEntries() {
		records[i] = port.Record{Offset: e.GetOffset(), Data: e.GetData()}
	}
	w.applyRecords(records)
}

// noMemberReadsLog reports whether this process has a configuration that was
// confirmed within MaxOutage, and every member replied that it cannot read the log
// and has no newer one. It is false if the log has shrunk.
func (w *Watcher) noMemberReadsLog(replies []*peerpb.ConfigReply) bool {
	if !w.Ready() || w.logShrunk.Load() || w.Age() > w.opt.MaxOutage {
		return false
	}
	revision := w.Snapshot().Revision()
	for _, reply := range replies {
		if reply == nil || reply.GetReadable() || reply.GetRevision() > revision {
			return false
		}
	}
	return true
}

// Answer returns the reply to a query of another member: this process's revision,
// whether and how recently it was confirmed, and the records that the querying
// member lacks, or the complete state if some of them are not kept.
func (w *Watcher) Answer(query *peerpb.ConfigQuery) *peerpb.ConfigReply {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.fold == nil {
		return &peerpb.ConfigReply{}
	}
	reply := &peerpb.ConfigReply{
		Ready:    true,
		Revision: w.fold.Revision(),
	}
	if age := w.Age(); age <= w.opt.FreshFor/2 {
		reply.Readable = true
		reply.AgeMs = (age + time.Millisecond - 1).Milliseconds() // rounded up
	}
	if query.GetRevision() >= reply.GetRevision() && query.GetRevision() > 0 {
		return reply
	}
	records, ok := w.recentRecords.after(query.GetRevision())
	if ok && query.GetRevision() > 0 {
		for _, r := range records {
			reply.Entries = append(reply.Entries, &peerpb.ConfigEntry{Offset: r.Offset, Data: r.Data})
		}
		return reply
	}
	state, err := w.fold.Marshal()
	if err != nil {
		w.opt.Logger.WithError(err).Error("configuration cannot be encoded for a member; sending an empty reply")
		return &peerpb.ConfigReply{}
	}
	reply.Checkpoint = state
	return reply
}
