package configwatch

import (
	"context"
	"sync"
	"time"

	"github.com/balsamhitch/balsamhitch/internal/core/config"
	"github.com/balsamhitch/balsamhitch/internal/pb/peerpb"
	"github.com/balsamhitch/balsamhitch/internal/port"
)

// readable reports whether the process lately knew the log's end, itself or
// through a member. It turns false well before a proof has expired, so that
// members can agree that nobody reads the log without a gap in service.
func (w *Watcher) readable() bool { return w.Age() <= w.opt.FreshFor/2 }

// followMembers asks the members whenever the log does not tell enough.
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
		behind = w.heard.Load() > w.Snapshot().Revision()
		// While the log fails, only the members tell of changes, and their
		// answers must not keep this process from asking again.
		if !w.readable() || w.failing.Load() || (behind && wasBehind) {
			w.askMembers(ctx)
		}
	}
}

// askMembers asks all members at once. Each answer counts when it arrives.
func (w *Watcher) askMembers(ctx context.Context) {
	addresses, known := w.opt.Members()
	sent := w.opt.Clock.Now()
	replies := make([]*peerpb.ConfigReply, len(addresses))
	var calls sync.WaitGroup
	for i, address := range addresses {
		calls.Go(func() {
			replies[i] = w.ask(ctx, address)
			w.take(replies[i], sent)
		})
	}
	calls.Wait()
	if known && w.nobodyReads(replies) {
		w.assume(sent)
	}
}

// ask returns the member's answer or nil.
func (w *Watcher) ask(ctx context.Context, address string) *peerpb.ConfigReply {
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

// take adopts a newer configuration from an answer to a question sent at the
// reading, and the proof that it is the newest.
func (w *Watcher) take(reply *peerpb.ConfigReply, sent time.Duration) {
	if !reply.GetReady() {
		return
	}
	if reply.GetRevision() > w.Snapshot().Revision() || !w.Ready() {
		w.adopt(reply)
	}
	if reply.GetReadable() {
		w.prove(reply.GetRevision(), sent-time.Duration(reply.GetAgeMs())*time.Millisecond)
	}
}

func (w *Watcher) adopt(reply *peerpb.ConfigReply) {
	if len(reply.GetCheckpoint()) > 0 {
		fold, err := config.Unmarshal(reply.GetCheckpoint())
		if err != nil {
			w.opt.Logger.WithError(err).Warn("A member sent a configuration that cannot be read.")
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
	w.apply(records)
}

// nobodyReads reports whether every member answered that it cannot read the
// log, none has a newer configuration, and the outage is not too old.
func (w *Watcher) nobodyReads(replies []*peerpb.ConfigReply) bool {
	if !w.Ready() || w.shrunk.Load() || w.Age() > w.opt.MaxOutage {
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

// Answer tells another process what this one knows of the configuration.
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
	records, ok := w.recent.after(query.GetRevision())
	if ok && query.GetRevision() > 0 {
		for _, r := range records {
			reply.Entries = append(reply.Entries, &peerpb.ConfigEntry{Offset: r.Offset, Data: r.Data})
		}
		return reply
	}
	state, err := w.fold.Marshal()
	if err != nil {
		w.opt.Logger.WithError(err).Error("Cannot write the configuration for a member.")
		return &peerpb.ConfigReply{}
	}
	reply.Checkpoint = state
	return reply
}
