//go:build review

package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// The limits of the platform's store, as in the example of its settings.
const (
	recordBytes  = 262144
	requestBytes = 2097152
	appendTime   = 2 * time.Millisecond
	answerTime   = 4 * time.Millisecond
	pageItems    = 500
)

// store is a stand-in of the platform's store. It holds one partition a topic.
type store struct {
	mu     sync.Mutex
	topics map[string]*topic
	// refused counts the appends beyond the limits; log is told of some of them.
	refused int
	log     func(who, format string, args ...any)
}

type topic struct {
	appendMu  sync.Mutex // held while an append is worked on
	records   [][]byte   // without the four bytes of length
	newest    map[string]int
	changed   chan struct{}
	producers map[string]*producer
}

type producer struct {
	epoch, next uint64
	started     bool // an append of the epoch has set next
	recent      map[uint64][]byte
}

func newStore() *store { return &store{topics: map[string]*topic{}} }

func (s *store) topic(name string) *topic {
	t, ok := s.topics[name]
	if !ok {
		t = &topic{newest: map[string]int{}, changed: make(chan struct{}), producers: map[string]*producer{}}
		s.topics[name] = t
	}
	return t
}

// put appends a record of the operator, of a runner or of the platform itself. Without a
// value it drops the key.
func (s *store) put(topicName, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	record := append([]byte{byte(len(key))}, key...)
	s.topic(topicName).add(append(record, value...))
}

// get returns the newest value of a key.
func (s *store) get(topicName, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(topicName)
	i, ok := t.newest[key]
	if !ok {
		return nil
	}
	_, value := split(t.records[i])
	return value
}

func split(record []byte) (key string, value []byte) {
	if len(record) == 0 || 1+int(record[0]) > len(record) {
		return "", nil
	}
	return string(record[1 : 1+record[0]]), record[1+record[0]:]
}

func (t *topic) add(record []byte) {
	key, value := split(record)
	if len(value) == 0 {
		delete(t.newest, key)
	} else {
		t.newest[key] = len(t.records)
	}
	t.records = append(t.records, record)
	close(t.changed)
	t.changed = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerTime)
	switch r.URL.Path {
	case "/-/log-append":
		s.serveAppend(w, r)
	case "/-/log-read":
		s.serveRead(w, r)
	case "/-/log-newest":
		s.serveNewest(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	encoded, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(encoded)
}

// parseRecords splits the body of an append. It returns false if a record or the body is
// beyond the limits.
func parseRecords(body []byte) ([][]byte, bool) {
	var records [][]byte
	if len(body) > requestBytes {
		return nil, false
	}
	for len(body) > 0 {
		if len(body) < 4 {
			return nil, false
		}
		size := int(binary.BigEndian.Uint32(body))
		if size > recordBytes || size > len(body)-4 {
			return nil, false
		}
		records = append(records, body[4:4+size])
		body = body[4+size:]
	}
	return records, true
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	name := query.Get("topic")
	if name == "keyed.op" || name == "keyed.servers" {
		reply(w, http.StatusForbidden, map[string]any{})
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	records, ok := parseRecords(body)
	if !ok {
		s.mu.Lock()
		s.refused++
		if n := s.refused; n == 1 || n%50 == 0 {
			s.log("platform", "append of %d bytes to %s by epoch %s is refused; %d appends refused so far", len(body), name, query.Get("epoch"), n)
		}
		s.mu.Unlock()
		reply(w, http.StatusBadRequest, map[string]any{"reason": "too large"})
		return
	}
	s.mu.Lock()
	t := s.topic(name)
	s.mu.Unlock()
	t.appendMu.Lock()
	defer t.appendMu.Unlock()
	time.Sleep(appendTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	end := uint64(len(t.records))
	var p *producer
	seq, _ := strconv.ParseUint(query.Get("seq"), 10, 64)
	if id := query.Get("producer"); id != "" {
		epoch, _ := strconv.ParseUint(query.Get("epoch"), 10, 64)
		if p = t.producers[id]; p == nil {
			p = &producer{epoch: epoch, recent: map[uint64][]byte{}}
			t.producers[id] = p
		}
		switch {
		case epoch < p.epoch:
			reply(w, http.StatusConflict, map[string]any{"reason": "fenced"})
			return
		case epoch > p.epoch:
			*p = producer{epoch: epoch, recent: map[uint64][]byte{}}
		}
		if first, repeated := p.recent[seq]; repeated && len(records) > 0 {
			w.Header().Set("Content-Type", "application/json")
			_, _ = w.Write(first)
			return
		}
		if p.started && len(records) > 0 && seq != p.next {
			reply(w, http.StatusConflict, map[string]any{"reason": "seq", "seq": p.next})
			return
		}
	}
	if asOf := query.Get("as_of"); asOf != "" {
		if wanted, _ := strconv.ParseUint(asOf, 10, 64); wanted != end {
			reply(w, http.StatusPreconditionFailed, map[string]any{"end_offset": end})
			return
		}
	}
	for _, record := range records {
		t.add(append([]byte(nil), record...))
	}
	answer := map[string]any{"offset": end, "end_offset": len(t.records)}
	if p != nil && len(records) > 0 {
		p.started, p.next = true, seq+1
		p.recent[seq], _ = json.Marshal(answer)
		delete(p.recent, seq-5)
	}
	reply(w, http.StatusOK, answer)
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, _ := strconv.Atoi(query.Get("from"))
	maxKB, err := strconv.Atoi(query.Get("max_kb"))
	if err != nil {
		maxKB = 1024
	}
	waitMs, _ := strconv.Atoi(query.Get("wait_ms"))
	deadline := time.After(time.Duration(min(waitMs, 30000)) * time.Millisecond)
	for waiting := waitMs > 0; waiting; {
		s.mu.Lock()
		t := s.topic(query.Get("topic"))
		changed, available := t.changed, from < len(t.records)
		s.mu.Unlock()
		if available {
			break
		}
		select {
		case <-changed:
		case <-deadline:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
	s.mu.Lock()
	t := s.topic(query.Get("topic"))
	answer := binary.BigEndian.AppendUint64(nil, uint64(len(t.records)))
	answer = binary.BigEndian.AppendUint64(answer, 0)
	for i := from; i < len(t.records); i++ {
		if len(answer)+4+len(t.records[i]) > 16+maxKB*1024 {
			break
		}
		answer = binary.BigEndian.AppendUint32(answer, uint32(len(t.records[i])))
		answer = append(answer, t.records[i]...)
	}
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(answer)
}

func (s *store) serveNewest(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after := query.Get("dependencies")
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	items := []item{}
	s.mu.Lock()
	t := s.topic(query.Get("topic"))
	keys := make([]string, 0, len(t.newest))
	for key := range t.newest {
		if key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	more := len(keys) > pageItems
	for _, key := range keys[:min(len(keys), pageItems)] {
		i := t.newest[key]
		_, value := split(t.records[i])
		items = append(items, item{key, base64.StdEncoding.EncodeToString(value), i})
	}
	end := len(t.records)
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"items": items, "has_more": more, "end_offset": end})
}
