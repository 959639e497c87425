//go:build review

package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's store: keyed topics of one partition.
type store struct {
	mu     sync.Mutex
	topics map[string]*topic
	grown  chan struct{} // closed at the next append
}

type topic struct {
	records   []record
	newest    map[string]int // offset by key
	producers map[string]*producer
}

type record struct {
	key   string
	value []byte
}

type producer struct {
	epoch, next uint64
	answers     map[uint64]appendAnswer // by sequence number
}

type appendAnswer struct {
	Offset    int `json:"offset"`
	EndOffset int `json:"end_offset"`
}

func newStore() *store { return &store{topics: map[string]*topic{}, grown: make(chan struct{})} }

// topic returns the topic. The caller holds mu.
func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]int{}, producers: map[string]*producer{}}
		s.topics[name] = t
	}
	return t
}

// put appends one record.
func (s *store) put(name, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(name, []record{{key, value}})
}

// add appends records. The caller holds mu.
func (s *store) add(name string, records []record) appendAnswer {
	t := s.topic(name)
	first := len(t.records)
	for _, r := range records {
		t.newest[r.key] = len(t.records)
		t.records = append(t.records, r)
	}
	close(s.grown)
	s.grown = make(chan struct{})
	return appendAnswer{first, len(t.records)}
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/-/log-append":
		s.append(w, r)
	case "/-/log-read":
		s.read(w, r)
	case "/-/log-newest":
		s.listNewest(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func number(r *http.Request, name string) uint64 {
	n, _ := strconv.ParseUint(r.URL.Query().Get(name), 10, 64)
	return n
}

func (s *store) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var records []record
	for len(body) > 0 {
		size := int(binary.BigEndian.Uint32(body))
		data := body[4 : 4+size]
		body = body[4+size:]
		end := 1 + int(data[0])
		records = append(records, record{string(data[1:end]), data[end:]})
	}
	time.Sleep(4 * time.Millisecond)
	query := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(query.Get("topic"))
	if asOf := query.Get("as_of"); asOf != "" && asOf != strconv.Itoa(len(t.records)) {
		reply(w, http.StatusPreconditionFailed, map[string]int{"end_offset": len(t.records)})
		return
	}
	name := query.Get("producer")
	if name == "" {
		reply(w, http.StatusOK, s.add(query.Get("topic"), records))
		return
	}
	epoch, sequence := number(r, "epoch"), number(r, "seq")
	p := t.producers[name]
	if p == nil || epoch > p.epoch {
		p = &producer{epoch: epoch, next: sequence, answers: map[uint64]appendAnswer{}}
		t.producers[name] = p
	}
	if epoch < p.epoch {
		reply(w, http.StatusConflict, map[string]string{"reason": "fenced"})
		return
	}
	if answer, repeated := p.answers[sequence]; repeated {
		reply(w, http.StatusOK, answer)
		return
	}
	if sequence != p.next {
		reply(w, http.StatusConflict, map[string]any{"reason": "seq", "seq": p.next})
		return
	}
	answer := s.add(query.Get("topic"), records)
	p.answers[sequence] = answer
	delete(p.answers, sequence-5)
	p.next++
	reply(w, http.StatusOK, answer)
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	from, limit := int(number(r, "from")), 1024<<10
	if kb := number(r, "max_kb"); kb > 0 {
		limit = int(kb) << 10
	}
	deadline := time.NewTimer(time.Duration(number(r, "wait_ms")) * time.Millisecond)
	defer deadline.Stop()
	for waiting := true; ; {
		s.mu.Lock()
		records, grown := s.topic(r.URL.Query().Get("topic")).records, s.grown
		s.mu.Unlock()
		if waiting && len(records) <= from {
			select {
			case <-grown:
			case <-deadline.C:
				waiting = false
			case <-r.Context().Done():
				return
			}
			continue
		}
		answer := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
		answer = binary.BigEndian.AppendUint64(answer, 0)
		for _, r := range records[min(from, len(records)):] {
			if len(answer)-16+5+len(r.key)+len(r.value) > limit {
				break
			}
			answer = binary.BigEndian.AppendUint32(answer, uint32(1+len(r.key)+len(r.value)))
			answer = append(append(append(answer, byte(len(r.key))), r.key...), r.value...)
		}
		_, _ = w.Write(answer)
		return
	}
}

func (s *store) listNewest(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(query.Get("topic"))
	keys := make([]string, 0, len(t.newest))
	for key, offset := range t.newest {
		if len(t.records[offset].value) > 0 && key > query.Get("dependencies") {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, strings.Compare)
	items, size, more := []map[string]any{}, 0, false
	for _, key := range keys {
		offset := t.newest[key]
		if size += len(t.records[offset].value); len(items) == 500 || size > 1<<20 && len(items) > 0 {
			more = true
			break
		}
		items = append(items, map[string]any{"key": key, "offset": offset, "value": base64.StdEncoding.EncodeToString(t.records[offset].value)})
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "has_more": more, "end_offset": len(t.records)})
}
