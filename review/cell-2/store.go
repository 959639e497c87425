//go:build review2

package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Times of the store, as in the site files: an append takes appendTime, one at a time in
// a partition, and a call is answered after answerTime.
const (
	appendTime = 2 * time.Millisecond
	answerTime = 4 * time.Millisecond
	pageItems  = 500
)

// Store is a stand-in of the platform's metadata store. It keeps all records.
type Store struct {
	address string
	server  *http.Server

	mu      sync.Mutex
	topics  map[string]*topic
	onWrite func(topicName string, epoch uint64) // after an append with a producer
}

type topic struct {
	appending sync.Mutex // one append at a time
	records   []record
	newest    map[string]int // offset of the newest record by key
	producers map[string]*producer
	grown     chan struct{} // closed at the next append
}

type record struct {
	key   string
	value []byte // nil if there is none
}

type producer struct {
	epoch, next uint64
	offsets     map[uint64]uint64 // first offset by sequence number, of the last five
}

// StartStore starts a store without topics on a free loopback port.
func StartStore() *Store {
	s := &Store{topics: map[string]*topic{}}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	s.address = listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/log-append", s.append)
	mux.HandleFunc("GET /-/log-read", s.read)
	mux.HandleFunc("GET /-/log-newest", s.pages)
	s.server = &http.Server{Handler: mux}
	go func() { _ = s.server.Serve(listener) }()
	return s
}

// topic returns the topic and creates it on first use. The caller holds mu.
func (s *Store) topic(name string) *topic {
	t, ok := s.topics[name]
	if !ok {
		t = &topic{newest: map[string]int{}, producers: map[string]*producer{}, grown: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

// add appends records and returns the offset of the first. The caller holds mu.
func (t *topic) add(records []record) uint64 {
	first := len(t.records)
	for _, r := range records {
		if r.value == nil {
			delete(t.newest, r.key)
		} else {
			t.newest[r.key] = len(t.records)
		}
		t.records = append(t.records, r)
	}
	close(t.grown)
	t.grown = make(chan struct{})
	return uint64(first)
}

// Put writes a record as the operator and the workers do. A nil value drops the key.
func (s *Store) Put(topicName, key string, value any) {
	var encoded []byte
	if value != nil {
		var err error
		encoded, err = json.Marshal(value)
		must(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topic(topicName).add([]record{{key: key, value: encoded}})
}

func (s *Store) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	records, ok := decodeRecords(body)
	query := r.URL.Query()
	name := query.Get("topic")
	if err != nil || !ok || name == "" {
		answer(w, http.StatusBadRequest, nil)
		return
	}
	if name == "keyed.op" || name == "keyed.servers" {
		answer(w, http.StatusForbidden, nil)
		return
	}
	s.mu.Lock()
	t := s.topic(name)
	s.mu.Unlock()
	t.appending.Lock()
	time.Sleep(appendTime)
	s.mu.Lock()
	status, reply := t.admit(query.Get("as_of"), query.Get("producer"), number(query.Get("epoch")), number(query.Get("seq")), records)
	written := s.onWrite
	s.mu.Unlock()
	t.appending.Unlock()
	if written != nil && status == http.StatusOK && query.Get("producer") != "" {
		written(name, number(query.Get("epoch")))
	}
	time.Sleep(answerTime - appendTime)
	answer(w, status, reply)
}

// admit checks the conditions of an append and adds its records. The caller holds the
// store's mu.
func (t *topic) admit(asOf, name string, epoch, sequence uint64, records []record) (int, any) {
	if asOf != "" && number(asOf) != uint64(len(t.records)) {
		return http.StatusPreconditionFailed, map[string]any{"end_offset": len(t.records)}
	}
	var p *producer
	if name != "" {
		if p = t.producers[name]; p == nil {
			p = &producer{epoch: epoch, next: sequence, offsets: map[uint64]uint64{}}
			t.producers[name] = p
		}
		if epoch < p.epoch {
			return http.StatusConflict, map[string]any{"reason": "fenced"}
		}
		if epoch > p.epoch {
			*p = producer{epoch: epoch, next: sequence, offsets: map[uint64]uint64{}}
		}
		if first, repeated := p.offsets[sequence]; repeated {
			return http.StatusOK, map[string]any{"offset": first, "end_offset": len(t.records)}
		}
		if sequence != p.next {
			return http.StatusConflict, map[string]any{"reason": "seq", "seq": p.next}
		}
	}
	first := t.add(records)
	if p != nil {
		p.next++
		p.offsets[sequence] = first
		delete(p.offsets, sequence-5)
	}
	return http.StatusOK, map[string]any{"offset": first, "end_offset": len(t.records)}
}

func (s *Store) read(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from := int(number(query.Get("from")))
	limit := 1024 << 10
	if kb := query.Get("max_kb"); kb != "" {
		limit = int(number(kb)) << 10
	}
	deadline := time.NewTimer(time.Duration(number(query.Get("wait_ms"))) * time.Millisecond)
	defer deadline.Stop()
	for waiting := true; waiting; {
		s.mu.Lock()
		t := s.topic(query.Get("topic"))
		length, grown := len(t.records), t.grown
		s.mu.Unlock()
		if from < length {
			break
		}
		select {
		case <-grown:
		case <-deadline.C:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
	time.Sleep(answerTime)
	s.mu.Lock()
	t := s.topic(query.Get("topic"))
	body := binary.BigEndian.AppendUint64(nil, uint64(len(t.records)))
	body = binary.BigEndian.AppendUint64(body, 0)
	size := 0
	for offset := from; offset < len(t.records); offset++ {
		encoded := encodeRecord(t.records[offset])
		if size += len(encoded); size > limit {
			break
		}
		body = append(body, encoded...)
	}
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(body)
}

func (s *Store) pages(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after := query.Get("dependencies")
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	time.Sleep(answerTime)
	s.mu.Lock()
	t := s.topic(query.Get("topic"))
	var keys []string
	for key := range t.newest {
		if key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	items := []item{}
	for _, key := range keys[:min(len(keys), pageItems)] {
		offset := t.newest[key]
		items = append(items, item{Key: key, Value: base64.StdEncoding.EncodeToString(t.records[offset].value), Offset: offset})
	}
	reply := map[string]any{"items": items, "has_more": len(keys) > pageItems, "end_offset": len(t.records)}
	s.mu.Unlock()
	answer(w, http.StatusOK, reply)
}

func decodeRecords(body []byte) (records []record, ok bool) {
	for len(body) > 0 {
		if len(body) < 4 {
			return nil, false
		}
		size := int(binary.BigEndian.Uint32(body))
		body = body[4:]
		if size < 1 || size > len(body) || 1+int(body[0]) > size {
			return nil, false
		}
		keyEnd := 1 + int(body[0])
		r := record{key: string(body[1:keyEnd])}
		if keyEnd < size {
			r.value = append([]byte{}, body[keyEnd:size]...)
		}
		records = append(records, r)
		body = body[size:]
	}
	return records, true
}

func encodeRecord(r record) []byte {
	encoded := binary.BigEndian.AppendUint32(nil, uint32(1+len(r.key)+len(r.value)))
	encoded = append(encoded, byte(len(r.key)))
	encoded = append(encoded, r.key...)
	return append(encoded, r.value...)
}

func number(text string) uint64 {
	n, _ := strconv.ParseUint(text, 10, 64)
	return n
}

func answer(w http.ResponseWriter, status int, reply any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if reply != nil {
		_ = json.NewEncoder(w).Encode(reply)
	}
}
