package main

import (
	"encoding/json"
	"maps"
	"math/rand/v2"
	"net/http"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is one key of the store, or the tombstone of one.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"create_rev,omitempty"`
	Lease    int64  `json:"lease"`
	Deleted  bool   `json:"tombstone,omitempty"`
}

// lease is a lease of the store. It runs until the given time.
type lease struct {
	ttl   time.Duration
	until time.Time
}

// contents is what a copy of the store holds.
type contents struct {
	revision int64
	items    map[string]item
	history  []item
	leases   map[int64]lease
}

// store is the platform's key-value store. It keeps its whole history, which is allowed: a
// store may discard it, but need not.
type store struct {
	mu      sync.Mutex
	now     contents
	copied  contents
	copyAt  time.Time
	era     int
	away    bool
	changed chan struct{}
	// delay is how long a call takes.
	delay time.Duration
}

func newStore() *store {
	return &store{now: contents{revision: 1, items: map[string]item{}, leases: map[int64]lease{}}, era: 1, delay: answerTime, changed: make(chan struct{})}
}

func (c contents) clone() contents {
	return contents{c.revision, maps.Clone(c.items), slices.Clone(c.history), maps.Clone(c.leases)}
}

// put writes a key as the operator or a replica does. It returns false while the store is
// away.
func (s *store) put(key string, value []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return false
	}
	s.now.revision++
	s.write(key, value, 0)
	s.notify()
	return true
}

// beat writes the entry of a replica. One that differs from the last in its sequence only is
// no change of the store, so that the revision stays.
func (s *store) beat(key string, value []byte) bool {
	s.mu.Lock()
	old, ok := s.now.items[key]
	same := ok && !s.away && sameEntry(old.Value, value)
	if same {
		old.Value = value
		s.now.items[key] = old
	}
	s.mu.Unlock()
	return same || s.put(key, value)
}

// sameEntry reports whether two entries of a replica differ in their sequence at most.
func sameEntry(a, b []byte) bool {
	var x, y map[string]any
	if json.Unmarshal(a, &x) != nil || json.Unmarshal(b, &y) != nil {
		return false
	}
	delete(x, "sequence")
	delete(y, "sequence")
	return reflect.DeepEqual(x, y)
}

// remove removes a key and returns false while the store is away.
func (s *store) remove(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return false
	}
	if _, ok := s.now.items[key]; ok {
		s.now.revision++
		s.drop(key)
		s.notify()
	}
	return true
}

// copyNow takes the copy from which comeBack restores the store.
func (s *store) copyNow() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.copied, s.copyAt = s.now.clone(), time.Now()
}

// goAway makes the store unreachable: every call, also a watch that waits, ends with a reset
// of its connection.
func (s *store) goAway() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
	s.notify()
}

// comeBack makes the store reachable again. With restore, it holds what its copy holds:
// revisions go back, and what was written since is gone. A lease of the copy has the time
// left that it had then.
func (s *store) comeBack(restore bool) (before, after int64, age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before = s.now.revision
	age = time.Since(s.copyAt)
	if restore {
		s.now = s.copied.clone()
		s.era++
		for id, l := range s.now.leases {
			l.until = l.until.Add(age)
			s.now.leases[id] = l
		}
	}
	s.away = false
	s.notify()
	return before, s.now.revision, age
}

// revision returns the revision of the store.
func (s *store) revision() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.now.revision
}

func (s *store) write(key string, value []byte, id int64) {
	created := s.now.revision
	if old, ok := s.now.items[key]; ok {
		created = old.Created
	}
	it := item{Key: key, Value: value, Revision: s.now.revision, Created: created, Lease: id}
	s.now.items[key] = it
	s.now.history = append(s.now.history, it)
}

func (s *store) drop(key string) {
	delete(s.now.items, key)
	s.now.history = append(s.now.history, item{Key: key, Revision: s.now.revision, Deleted: true})
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire removes the keys of the leases that have ended.
func (s *store) expire() {
	for id, l := range s.now.leases {
		if time.Now().Before(l.until) {
			continue
		}
		delete(s.now.leases, id)
		for key, it := range s.now.items {
			if it.Lease == id {
				s.now.revision++
				s.drop(key)
				s.notify()
			}
		}
	}
}

// setAnswerTime sets how long a call takes.
func (s *store) setAnswerTime(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

// answerTime is how long a call of the store takes, as the sheets give it.
const answerTime = 4 * time.Millisecond

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	delay := s.delay
	s.mu.Unlock()
	time.Sleep(delay)
	s.mu.Lock()
	if s.away {
		s.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	s.expire()
	w.Header().Set("Store-Era", strconv.Itoa(s.era))
	s.mu.Unlock()
	head, rest, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	switch head {
	case "kv-key":
		s.serveKey(w, r)
	case "kv-range":
		s.serveRange(w, r)
	case "kv-watch":
		s.serveWatch(w, r)
	case "kv-txn":
		s.serveTxn(w, r)
	case "kv-lease", "kv-keep", "kv-lease-end":
		s.serveLease(w, r, head, rest)
	default:
		w.WriteHeader(http.StatusBadRequest)
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it, ok := s.now.items[r.URL.Query().Get("key")]
	if !ok {
		reply(w, http.StatusNotFound, map[string]int64{"store_revision": s.now.revision})
		return
	}
	reply(w, http.StatusOK, struct {
		item
		At int64 `json:"store_revision"`
	}{it, s.now.revision})
}

// pageItems is the number of items on a page of a range.
const pageItems = 500

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	found := []item{}
	for _, key := range slices.Sorted(maps.Keys(s.now.items)) {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, s.now.items[key])
		}
	}
	more := len(found) > pageItems
	if more {
		found = found[:pageItems]
	}
	reply(w, http.StatusOK, map[string]any{"items": found, "has_more": more, "store_revision": s.now.revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		changed, away, revision := s.changed, s.away, s.now.revision
		events := []item{}
		for _, it := range s.now.history {
			if it.Revision > after && strings.HasPrefix(it.Key, query.Get("prefix")) {
				events = append(events, it)
			}
		}
		s.mu.Unlock()
		switch {
		case away:
			panic(http.ErrAbortHandler)
		case after > revision:
			w.WriteHeader(http.StatusGone)
			return
		case len(events) > 0:
			reply(w, http.StatusOK, map[string]any{"events": events, "store_revision": revision})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			reply(w, http.StatusOK, map[string]any{"events": events, "store_revision": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

type transaction struct {
	Expected []struct {
		Key      string `json:"key"`
		Revision int64  `json:"revision"`
	} `json:"expected"`
	Puts []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
		Lease int64  `json:"lease"`
	} `json:"puts"`
	Remove []string `json:"remove"`
}

func (s *store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var t transaction
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range t.Expected {
		if s.now.items[e.Key].Revision != e.Revision {
			reply(w, http.StatusPreconditionFailed, map[string]any{"items": []item{s.now.items[e.Key]}})
			return
		}
	}
	for _, p := range t.Puts {
		if _, ok := s.now.leases[p.Lease]; p.Lease != 0 && !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	s.now.revision++
	for _, p := range t.Puts {
		s.write(p.Key, p.Value, p.Lease)
	}
	for _, key := range t.Remove {
		s.drop(key)
	}
	s.notify()
	reply(w, http.StatusOK, map[string]int64{"revision": s.now.revision})
}

func (s *store) serveLease(w http.ResponseWriter, r *http.Request, call, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id, _ := strconv.ParseInt(name, 10, 64)
	l, held := s.now.leases[id]
	switch {
	case call == "kv-lease":
		var body struct {
			TTL int64 `json:"ttl_ms"`
		}
		_ = json.NewDecoder(r.Body).Decode(&body)
		// The numbers of leases are not given out again.
		id = 1 + rand.Int64N(1<<40)
		l.ttl = time.Duration(max(1000, body.TTL)) * time.Millisecond
	case !held:
		w.WriteHeader(http.StatusNotFound)
		return
	case call == "kv-lease-end":
		l.until = time.Time{}
		s.now.leases[id] = l
		s.expire()
		w.WriteHeader(http.StatusOK)
		return
	}
	l.until = time.Now().Add(l.ttl)
	s.now.leases[id] = l
	reply(w, http.StatusOK, map[string]int64{"lease": id, "ttl_ms": l.ttl.Milliseconds()})
}
