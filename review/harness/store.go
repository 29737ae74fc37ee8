package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's store. It speaks the calls of PROTOCOL.md.
type store struct {
	mu       sync.Mutex
	revision int64
	items    map[string]item
	history  []item
	leases   map[int64]*lease
	changed  chan struct{}
}

type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"create_rev,omitempty"`
	Lease    int64  `json:"lease"`
	Deleted  bool   `json:"tombstone,omitempty"`
}

type lease struct {
	ttl   time.Duration
	until time.Time
}

func newStore() *store {
	s := &store{revision: 1, items: map[string]item{}, leases: map[int64]*lease{}, changed: make(chan struct{})}
	go func() {
		for range time.Tick(50 * time.Millisecond) {
			s.mu.Lock()
			s.expire()
			s.mu.Unlock()
		}
	}()
	return s
}

// put writes a key as the operator or a replica does.
func (s *store) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.set(key, data, 0)
	s.notify()
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	s.unset(key)
	s.notify()
}

func (s *store) set(key string, data []byte, leaseID int64) {
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	it := item{Key: key, Value: data, Revision: s.revision, Created: created, Lease: leaseID}
	s.items[key] = it
	s.history = append(s.history, it)
}

func (s *store) unset(key string) {
	delete(s.items, key)
	s.history = append(s.history, item{Key: key, Revision: s.revision, Deleted: true})
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) expire() {
	for id, l := range s.leases {
		if time.Now().Before(l.until) {
			continue
		}
		delete(s.leases, id)
		for key, it := range s.items {
			if it.Lease == id {
				s.revision++
				s.unset(key)
				s.notify()
			}
		}
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	s.expire()
	s.mu.Unlock()
	path, rest, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	switch path {
	case "kv-key":
		s.mu.Lock()
		defer s.mu.Unlock()
		it, ok := s.items[q.Get("key")]
		if !ok {
			reply(w, http.StatusNotFound, map[string]int64{"store_revision": s.revision})
			return
		}
		reply(w, http.StatusOK, struct {
			item
			Store int64 `json:"store_revision"`
		}{it, s.revision})
	case "kv-range":
		s.list(w, q.Get("prefix"), q.Get("after"))
	case "kv-watch":
		after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("wait_ms"))
		s.watch(w, r, q.Get("prefix"), after, time.Duration(wait)*time.Millisecond)
	case "kv-txn":
		s.transact(w, r)
	case "kv-lease", "kv-keep", "kv-lease-end":
		s.lease(w, r, path, rest)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) list(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := []item{}
	for _, it := range s.items {
		if strings.HasPrefix(it.Key, prefix) && it.Key > after {
			found = append(found, it)
		}
	}
	slices.SortFunc(found, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	more := len(found) > 500
	if more {
		found = found[:500]
	}
	reply(w, http.StatusOK, map[string]any{"items": found, "has_more": more, "store_revision": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, prefix string, after int64, wait time.Duration) {
	deadline := time.After(wait)
	for {
		s.mu.Lock()
		changed, revision, events := s.changed, s.revision, []item{}
		for _, it := range s.history {
			if it.Revision > after && strings.HasPrefix(it.Key, prefix) {
				events = append(events, it)
			}
		}
		s.mu.Unlock()
		if len(events) == 0 {
			select {
			case <-changed:
				continue
			case <-deadline:
			case <-r.Context().Done():
				return
			}
		}
		reply(w, http.StatusOK, map[string]any{"events": events, "store_revision": revision})
		return
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var t struct {
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
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range t.Expected {
		if s.items[e.Key].Revision != e.Revision {
			reply(w, http.StatusPreconditionFailed, map[string]any{"items": []item{s.items[e.Key]}})
			return
		}
	}
	for _, p := range t.Puts {
		if _, ok := s.leases[p.Lease]; p.Lease != 0 && !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	s.revision++
	for _, p := range t.Puts {
		s.set(p.Key, p.Value, p.Lease)
	}
	for _, key := range t.Remove {
		s.unset(key)
	}
	s.notify()
	reply(w, http.StatusOK, map[string]int64{"revision": s.revision})
}

func (s *store) lease(w http.ResponseWriter, r *http.Request, path, rest string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if path == "kv-lease" {
		var body struct {
			TTL int64 `json:"ttl_ms"`
		}
		_ = json.NewDecoder(r.Body).Decode(&body)
		s.revision++
		ttl := time.Duration(body.TTL) * time.Millisecond
		s.leases[s.revision] = &lease{ttl, time.Now().Add(ttl)}
		reply(w, http.StatusOK, map[string]int64{"lease": s.revision, "ttl_ms": body.TTL})
		return
	}
	id, _ := strconv.ParseInt(rest, 10, 64)
	l, ok := s.leases[id]
	switch {
	case !ok:
		w.WriteHeader(http.StatusNotFound)
	case path == "kv-keep":
		l.until = time.Now().Add(l.ttl)
		reply(w, http.StatusOK, map[string]int64{"ttl_ms": l.ttl.Milliseconds()})
	default:
		l.until = time.Time{}
		s.expire()
		w.WriteHeader(http.StatusOK)
	}
}

// serveStore serves s on a free loopback address.
func serveStore(s *store) (string, error) {
	ln, err := net.Listen("tcp", "127.0.71.1:0")
	if err != nil {
		return "", fmt.Errorf("listen: %w", err)
	}
	go func() { _ = http.Serve(ln, s) }()
	return ln.Addr().String(), nil
}
