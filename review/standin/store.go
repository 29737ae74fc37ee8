package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's key-value store.
type store struct {
	mu       sync.Mutex
	revision int64
	items    map[string]*item
	history  []item
	leases   map[int64]*lease
	changed  chan struct{}
}

type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  int64  `json:"revision"`
	Created   int64  `json:"create_rev,omitempty"`
	Lease     int64  `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

type lease struct {
	ttl time.Duration
	end time.Time
}

func newStore() *store {
	s := &store{revision: 100, items: map[string]*item{}, leases: map[int64]*lease{}, changed: make(chan struct{})}
	go func() {
		for range time.Tick(100 * time.Millisecond) {
			s.mu.Lock()
			s.expire()
			s.mu.Unlock()
		}
	}()
	return s
}

// expire removes the keys of the leases that have ended. The caller holds mu.
func (s *store) expire() {
	for id, l := range s.leases {
		if time.Now().After(l.end) {
			s.endLease(id)
		}
	}
}

func (s *store) endLease(id int64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.revision++
			s.remove(key)
		}
	}
	s.notify()
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) put(key string, value []byte, lease int64) {
	i := &item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: lease}
	if old := s.items[key]; old != nil {
		i.Created = old.Created
	}
	s.items[key] = i
	s.history = append(s.history, *i)
}

func (s *store) remove(key string) {
	if s.items[key] == nil {
		return
	}
	delete(s.items, key)
	s.history = append(s.history, item{Key: key, Revision: s.revision, Tombstone: true})
}

// Put writes a key as the operator or a replica does.
func (s *store) Put(key string, value any) {
	data, _ := json.Marshal(value)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.put(key, data, 0)
	s.notify()
}

// Delete removes a key.
func (s *store) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.remove(key)
	s.notify()
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond)
	switch {
	case r.URL.Path == "/kv-key":
		s.serveKey(w, r)
	case r.URL.Path == "/kv-range":
		s.serveRange(w, r)
	case r.URL.Path == "/kv-watch":
		s.serveWatch(w, r)
	case r.URL.Path == "/kv-txn":
		s.serveTxn(w, r)
	case r.URL.Path == "/kv-lease":
		var in struct {
			TTL int64 `json:"ttl_ms"`
		}
		_ = json.NewDecoder(r.Body).Decode(&in)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.revision++
		id := s.revision
		ttl := time.Duration(max(in.TTL, 1000)) * time.Millisecond
		s.leases[id] = &lease{ttl, time.Now().Add(ttl)}
		answer(w, 200, map[string]any{"lease": id, "ttl_ms": ttl.Milliseconds()})
	case strings.HasPrefix(r.URL.Path, "/kv-keep/"), strings.HasPrefix(r.URL.Path, "/kv-lease-end/"):
		id, _ := strconv.ParseInt(r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:], 10, 64)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.expire()
		l := s.leases[id]
		if l == nil {
			answer(w, 404, map[string]any{})
			return
		}
		if r.Method == http.MethodDelete {
			s.endLease(id)
			answer(w, 200, map[string]any{})
			return
		}
		l.end = time.Now().Add(l.ttl)
		answer(w, 200, map[string]any{"lease": id, "ttl_ms": l.ttl.Milliseconds()})
	default:
		answer(w, 404, map[string]any{})
	}
}

func answer(w http.ResponseWriter, status int, body any) {
	data, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := s.items[r.URL.Query().Get("key")]
	if i == nil {
		answer(w, 404, map[string]any{"store_revision": s.revision})
		return
	}
	answer(w, 200, struct {
		item
		At int64 `json:"store_revision"`
	}{*i, s.revision})
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, *i)
		}
	}
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	answer(w, 200, map[string]any{"items": items, "has_more": false, "store_revision": s.revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		events := []item{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, q.Get("prefix")) {
				events = append(events, i)
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			answer(w, 200, map[string]any{"events": events, "store_revision": at})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			answer(w, 200, map[string]any{"events": events, "store_revision": at})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var in struct {
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
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		answer(w, 400, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	for _, c := range in.Expected {
		var have int64
		if i := s.items[c.Key]; i != nil {
			have = i.Revision
		}
		if have != c.Revision {
			items := []item{}
			for _, c := range in.Expected {
				if i := s.items[c.Key]; i != nil {
					items = append(items, *i)
				}
			}
			answer(w, 412, map[string]any{"items": items})
			return
		}
	}
	for _, p := range in.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			answer(w, 404, map[string]any{})
			return
		}
	}
	s.revision++
	for _, p := range in.Puts {
		s.put(p.Key, p.Value, p.Lease)
	}
	for _, key := range in.Remove {
		s.remove(key)
	}
	s.notify()
	answer(w, 200, map[string]any{"revision": s.revision})
}
