package team

import (
	"time"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

// keyTTL is how long a request is remembered by its idempotency key, counted
// from its arrival and again from its end.
const keyTTL = 10 * time.Minute

// maxKeys limits the number of remembered keys.
const maxKeys = 20000

// maxAnswerBytes limits the total size of the remembered answer bodies.
const maxAnswerBytes = 8 << 20

// KeyState is the state of an idempotency key for a given request.
type KeyState uint8

// The states of a key.
const (
	KeyNew         KeyState = iota // not known: the request may run
	KeySameRequest                 // known from this request, as on a retry
	KeyInFlight                    // used by another request that has not ended
	KeyEnded                       // ended, perhaps with an unknown outcome
)

// keyEntry is the request, and its outcome once known, of one idempotency key.
type keyEntry struct {
	request model.RequestID
	// intentInJournal is set once the request's intent is in the journal. Retries of
	// the request may proceed.
	intentInJournal bool
	// fromEarlierSession is set if the intent belongs to a request that this
	// session did not admit. Other requests with the key get an unknown outcome.
	fromEarlierSession bool
	ended              bool
	outcome            model.Outcome
	body               model.Answer
	expires            time.Duration
}

// keyTable holds the requests and their outcomes by idempotency key.
type keyTable struct {
	byKey map[string]*keyEntry
	order []string // keys, oldest first
	bytes int      // total size of the answer bodies
}

func newKeyTable() *keyTable {
	return &keyTable{byKey: map[string]*keyEntry{}}
}

// begin records the arrival of a request with the key. The entry is nil if the
// key is new or empty.
func (t *keyTable) begin(key string, request model.RequestID, now time.Duration) (KeyState, *keyEntry) {
	if key == "" {
		return KeyNew, nil
	}
	t.expire(now)
	known := t.byKey[key]
	if known == nil {
		t.byKey[key] = &keyEntry{request: request, expires: now + keyTTL}
		t.order = append(t.order, key)
		return KeyNew, nil
	}
	if known.ended {
		return KeyEnded, known
	}
	if known.request == request {
		return KeySameRequest, known
	}
	if known.fromEarlierSession {
		return KeyEnded, known
	}
	return KeyInFlight, known
}

// applyIntent applies the first intent in the journal for the key.
func (t *keyTable) applyIntent(key string, request model.RequestID, now time.Duration) {
	state, known := t.begin(key, request, now)
	if key == "" || state == KeyEnded {
		return
	}
	if state == KeyNew {
		known = t.byKey[key]
		known.fromEarlierSession = true
	}
	if state == KeyInFlight {
		// The journal holds an earlier intent, of a request that another owner
		// admitted.
		known.request = request
		known.fromEarlierSession = true
	}
	known.intentInJournal = true
	known.outcome = model.OutcomeUnknown
}

// finish records the outcome of the request that the key belongs to. A request
// that has certainly not run releases its key.
func (t *keyTable) finish(key string, request model.RequestID, outcome model.Outcome, body model.Answer, now time.Duration) {
	known := t.byKey[key]
	if key == "" || known == nil || known.request != request || known.ended {
		return
	}
	if outcome == model.OutcomeNotRun {
		delete(t.byKey, key)
		return
	}
	known.ended = true
	known.outcome = outcome
	known.expires = now + keyTTL
	if t.bytes+len(body.Body) > maxAnswerBytes {
		// The key stays taken, but without its body the answer cannot be
		// replayed.
		known.outcome = model.OutcomeUnknown
		return
	}
	known.body = body
	t.bytes += len(body.Body)
}

// expire removes expired keys and the oldest ones beyond maxKeys.
func (t *keyTable) expire(now time.Duration) {
	for len(t.order) > 0 {
		key := t.order[0]
		known := t.byKey[key]
		if known != nil && known.expires > now && len(t.order) <= maxKeys {
			return
		}
		t.order = t.order[1:]
		if known == nil {
			continue
		}
		t.bytes -= len(known.body.Body)
		delete(t.byKey, key)
	}
}
