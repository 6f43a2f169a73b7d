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
	"sync"
	"time"
)

const (
	// readDelay and appendDelay are how long the store takes for an answer, and
	// readRate the bytes a second that it reads: the figures of the sheet and of
	// `provider` in the settings.
	readDelay   = 4 * time.Millisecond
	appendDelay = 2 * time.Millisecond
	readRate    = 80e6
	// pageItems and pageBytes bound a page of the newest records.
	pageItems, pageBytes = 500, 1 << 20
	// defaultMaxKB bounds a read unless the call says otherwise.
	defaultMaxKB = 1024
)

// record is a record of a topic. Its offset is its index.
type record struct {
	key   string
	value []byte
}

// size is what the record takes in an answer.
func (r record) size() int { return 5 + len(r.key) + len(r.value) }

// store is a stand-in for the platform's store: the calls of the log that a front makes,
// as PROTOCOL.md describes them.
type store struct {
	mu      sync.Mutex
	topics  map[string][]record
	changed chan struct{}
	// refusing means that the fronts get 503, while the operator and the runners, who
	// write with put, are served.
	refusing bool
}

func newStore() *store { return &store{topics: map[string][]record{}, changed: make(chan struct{})} }

// put appends a record as the operator or a runner does, and returns once it is
// acknowledged. A nil value drops the key.
func (s *store) put(topic, key string, v any) {
	var value []byte
	if v != nil {
		value = mustJSON(v)
	}
	time.Sleep(appendDelay)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.append(topic, record{key, value})
}

func (s *store) append(topic string, r record) int {
	s.topics[topic] = append(s.topics[topic], r)
	close(s.changed)
	s.changed = make(chan struct{})
	return len(s.topics[topic]) - 1
}

func (s *store) setRefusing(refusing bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refusing = refusing
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	refusing := s.refusing
	s.mu.Unlock()
	if refusing {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	switch r.URL.Path {
	case "/log-append":
		s.serveAppend(w, r, body)
	case "/log-read":
		s.serveRead(w, r)
	case "/log-newest":
		s.serveNewest(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func number(r *http.Request, name string, missing int) int {
	n, err := strconv.Atoi(r.URL.Query().Get(name))
	if err != nil {
		return missing
	}
	return n
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request, body []byte) {
	time.Sleep(appendDelay)
	topic := r.URL.Query().Get("topic")
	if topic == "keyed.op" || topic == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	if len(body) < 5 || int(binary.BigEndian.Uint32(body)) != len(body)-4 || int(body[4]) > len(body)-5 {
		w.WriteHeader(http.StatusBadRequest) // The fronts append one record a call.
		return
	}
	n := int(body[4])
	s.mu.Lock()
	end := len(s.topics[topic])
	if at := number(r, "at", end); at != end {
		s.mu.Unlock()
		answerJSON(w, http.StatusPreconditionFailed, map[string]int{"end": end})
		return
	}
	offset := s.append(topic, record{string(body[5 : 5+n]), slices.Clone(body[5+n:])})
	s.mu.Unlock()
	answerJSON(w, http.StatusOK, map[string]int{"offset": offset, "end": offset + 1})
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request) {
	topic, from := r.URL.Query().Get("topic"), number(r, "from", 0)
	limit := number(r, "max_kb", defaultMaxKB) << 10
	deadline := time.After(time.Duration(number(r, "wait_ms", 0)) * time.Millisecond)
	for {
		s.mu.Lock()
		all, changed, refusing := s.topics[topic], s.changed, s.refusing
		s.mu.Unlock()
		if refusing {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if from < len(all) {
			s.answerRecords(w, all, from, limit)
			return
		}
		select {
		case <-changed:
		case <-deadline:
			s.answerRecords(w, all, from, limit)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// answerRecords answers with the end, the first offset, and records of up to limit bytes.
func (s *store) answerRecords(w http.ResponseWriter, all []record, from, limit int) {
	out := binary.BigEndian.AppendUint64(nil, uint64(len(all)))
	out = binary.BigEndian.AppendUint64(out, 0)
	sent := 0
	for _, r := range all[min(from, len(all)):] {
		if sent > 0 && sent+r.size() > limit {
			break
		}
		sent += r.size()
		out = binary.BigEndian.AppendUint32(out, uint32(1+len(r.key)+len(r.value)))
		out = append(append(append(out, byte(len(r.key))), r.key...), r.value...)
	}
	time.Sleep(readDelay + time.Duration(float64(sent)/readRate*float64(time.Second)))
	_, _ = w.Write(out) // The front may have gone.
}

func (s *store) serveNewest(w http.ResponseWriter, r *http.Request) {
	time.Sleep(readDelay)
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	topic, after := r.URL.Query().Get("topic"), r.URL.Query().Get("after")
	s.mu.Lock()
	all := s.topics[topic]
	s.mu.Unlock()
	newest := map[string]int{}
	for offset, r := range all {
		newest[r.key] = offset
		if len(r.value) == 0 {
			delete(newest, r.key)
		}
	}
	keys := make([]string, 0, len(newest))
	for k := range newest {
		if k > after {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	items, sent, more := []item{}, 0, false
	for _, k := range keys {
		rec := all[newest[k]]
		if len(items) >= pageItems || sent > 0 && sent+rec.size() > pageBytes {
			more = true
			break
		}
		sent += rec.size()
		items = append(items, item{k, base64.StdEncoding.EncodeToString(rec.value), newest[k]})
	}
	answerJSON(w, http.StatusOK, map[string]any{"items": items, "more": more, "end": len(all)})
}

func answerJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(mustJSON(v)) // The front may have gone.
}

func mustJSON(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}
