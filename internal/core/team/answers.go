package team

import (
	"time"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

// answerTTL is how long the end of a request stays known to its key.
const answerTTL = 10 * time.Minute

// maxAnswers bounds the requests whose keys are remembered.
const maxAnswers = 20000

// maxAnswerBytes bounds the bodies that are remembered, in bytes.
const maxAnswerBytes = 8 << 20

// Standing tells what is known of a request's idempotency key.
type KeyState uint8

// The standings of a key.
const (
	KeyNew         KeyState = iota // never seen: the request may run
	KeySameRequest                 // the same request comes again, as on a retry
	KeyInFlight                    // another request with this key is running
	KeyEnded                       // the answer is known
)

// answer is what is known of one idempotency key.
type answer struct {
	request model.RequestID
	// intended is set once the request's intent is on the log. Whoever holds the
	// request may go on with it; for others its end is unknown.
	intended bool
	// foreign is set if no request of this tenure wrote that intent.
	foreign bool
	ended   bool
	outcome model.Outcome
	body    model.Answer
	expires time.Duration
}

// answers remembers request ids and their ends by idempotency key.
type answers struct {
	byKey map[string]*answer
	order []string // keys, oldest first
	bytes int      // sum of the remembered bodies
}

func newAnswers() *answers {
	return &answers{byKey: map[string]*answer{}}
}

// begin notes that a request with the key arrived.
func (a *answers) begin(key string, request model.RequestID, now time.Duration) (KeyState, *answer) {
	if key == "" {
		return KeyNew, nil
	}
	a.expire(now)
	known := a.byKey[key]
	if known == nil {
		a.byKey[key] = &answer{request: request, expires: now + answerTTL}
		a.order = append(a.order, key)
		return KeyNew, nil
	}
	if known.ended {
		return KeyEnded, known
	}
	if known.request == request {
		return KeySameRequest, known
	}
	if known.foreign {
		return KeyEnded, known
	}
	return KeyInFlight, known
}

// intend notes that the log has an intent of the request, which is the first
// one for its key.
func (a *answers) intend(key string, request model.RequestID, now time.Duration) {
	standing, known := a.begin(key, request, now)
	if key == "" || standing == KeyEnded {
		return
	}
	if standing == KeyNew {
		known = a.byKey[key]
		known.foreign = true
	}
	if standing == KeyInFlight {
		// Another owner's request came first in the log.
		known.request = request
		known.foreign = true
	}
	known.intended = true
	known.outcome = model.OutcomeUnknown
}

// end records the end of the request that the key belongs to. A request that
// has certainly not run frees its key.
func (a *answers) end(key string, request model.RequestID, outcome model.Outcome, body model.Answer, now time.Duration) {
	known := a.byKey[key]
	if key == "" || known == nil || known.request != request || known.ended {
		return
	}
	if outcome == model.OutcomeNotRun {
		delete(a.byKey, key)
		return
	}
	known.ended = true
	known.outcome = outcome
	known.expires = now + answerTTL
	if a.bytes+len(body.Body) > maxAnswerBytes {
		// The end stays known; only the body is not kept.
		known.outcome = model.OutcomeUnknown
		return
	}
	known.body = body
	a.bytes += len(body.Body)
}

// expire drops old keys and those beyond the bound.
func (a *answers) expire(now time.Duration) {
	for len(a.order) > 0 {
		key := a.order[0]
		known := a.byKey[key]
		if known != nil && known.expires > now && len(a.order) <= maxAnswers {
			return
		}
		a.order = a.order[1:]
		if known == nil {
			continue
		}
		a.bytes -= len(known.body.Body)
		delete(a.byKey, key)
	}
}
