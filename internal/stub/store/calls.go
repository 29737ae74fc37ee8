package store

import (
	"cmp"
	"net/http"
	"time"

	"github.com/egretflow/egretflow"
)

// gRPC status codes that the gateway reports.
const (
	codeInvalidArgument   = 3
	codeNotFound          = 5
	codeResourceExhausted = 8
)

func newStatusError(status, code int, message string) *statusError {
	return &statusError{status: status, Code: code, Message: message, Err: message}
}

func invalidArgument(message string) *statusError {
	return newStatusError(http.StatusBadRequest, codeInvalidArgument, message)
}

func leaseNotFound() *statusError {
	return newStatusError(http.StatusNotFound, codeNotFound, "etcdserver: requested lease not found")
}

func (s *Store) readRange(r *rangeRequest) *rangeResponse {
	found := s.keysInRange(r.Key, r.RangeEnd)
	resp := &rangeResponse{Header: s.header(), Count: number(len(found))}
	if r.Limit > 0 && len(found) > int(r.Limit) {
		found = found[:r.Limit]
		resp.More = true
	}
	if r.CountOnly {
		return resp
	}
	for _, k := range found {
		kv := s.keys[k]
		if r.KeysOnly {
			kv.Value = nil
		}
		resp.Kvs = append(resp.Kvs, kv)
	}
	return resp
}

func (s *Store) header() header { return header{Revision: number(s.revision)} }

// txn evaluates the comparisons and applies one of the two operation lists. An
// invalid request is rejected before anything is written.
func (s *Store) txn(r *txnRequest) (*txnResponse, *statusError) {
	succeeded := true
	for _, c := range r.Compare {
		matches, err := s.evaluateCompare(c)
		if err != nil {
			return nil, err
		}
		succeeded = succeeded && matches
	}
	operations := r.Failure
	if succeeded {
		operations = r.Success
	}
	if err := s.checkOperations(operations); err != nil {
		return nil, err
	}
	resp := &txnResponse{Succeeded: succeeded}
	revision := s.revision + 1
	wrote := false
	for _, op := range operations {
		var answer operationResponse
		switch {
		case op.Range != nil:
			answer.Range = s.readRange(op.Range)
		case op.Put != nil:
			s.put(op.Put.Key, op.Put.Value, int64(op.Put.Lease), revision)
			answer.Put = &putResponse{Header: header{number(revision)}}
			wrote = true
		case op.Delete != nil:
			deleted := s.keysInRange(op.Delete.Key, op.Delete.RangeEnd)
			for _, k := range deleted {
				s.remove(k, revision)
				wrote = true
			}
			answer.Delete = &deleteResponse{Header: header{number(revision)}, Deleted: number(len(deleted))}
		}
		resp.Responses = append(resp.Responses, answer)
	}
	if wrote {
		s.commit(revision)
	}
	resp.Header = s.header()
	return resp, nil
}

// checkOperations rejects puts with an unknown lease, two puts of the same key, and
// puts whose values together exceed egretflow.MaxStoreValueBytes.
func (s *Store) checkOperations(operations []operation) *statusError {
	put := map[string]bool{}
	size := 0
	for _, op := range operations {
		if op.Put == nil {
			continue
		}
		size += len(op.Put.Value)
		if op.Put.Lease != 0 && s.leases[int64(op.Put.Lease)] == nil {
			return leaseNotFound()
		}
		if put[string(op.Put.Key)] {
			return invalidArgument("etcdserver: duplicate key given in txn request")
		}
		put[string(op.Put.Key)] = true
	}
	if size > egretflow.MaxStoreValueBytes {
		return invalidArgument("etcdserver: request is too large")
	}
	return nil
}

// evaluateCompare reports whether one comparison of a txn is true.
func (s *Store) evaluateCompare(c compare) (bool, *statusError) {
	kv := s.keys[string(c.Key)]
	var order int
	switch c.Target {
	case "VERSION", "":
		order = cmp.Compare(kv.Version, c.Version)
	case "CREATE":
		order = cmp.Compare(kv.CreateRevision, c.CreateRevision)
	case "MOD":
		order = cmp.Compare(kv.ModRevision, c.ModRevision)
	default:
		return false, invalidArgument("unsupported compare target " + c.Target)
	}
	switch c.Result {
	case "EQUAL", "":
		return order == 0, nil
	case "NOT_EQUAL":
		return order != 0, nil
	case "GREATER":
		return order > 0, nil
	case "LESS":
		return order < 0, nil
	}
	return false, invalidArgument("unsupported compare result " + c.Result)
}

func (s *Store) grant(r *leaseRequest) (*leaseResponse, *statusError) {
	if r.TTL < 1 {
		return nil, invalidArgument("TTL must be at least 1")
	}
	id := int64(r.ID)
	if id == 0 {
		s.nextLease++
		id = s.nextLease
	}
	if s.leases[id] != nil {
		return nil, newStatusError(http.StatusPreconditionFailed, 9, "etcdserver: lease already exists")
	}
	ttl := time.Duration(r.TTL) * time.Second
	s.leases[id] = &lease{id: id, ttl: ttl, expiresAt: s.cfg.Clock().Add(ttl)}
	return &leaseResponse{Header: s.header(), ID: number(id), TTL: r.TTL}, nil
}

// keepalive renews a lease. The response has no TTL if the lease does not exist.
func (s *Store) keepalive(r *leaseRequest) *leaseResponse {
	resp := &leaseResponse{Header: s.header(), ID: r.ID}
	if l := s.leases[int64(r.ID)]; l != nil {
		l.expiresAt = s.cfg.Clock().Add(l.ttl)
		resp.TTL = number(l.ttl / time.Second)
	}
	return resp
}

func (s *Store) revoke(r *leaseRequest) (*leaseResponse, *statusError) {
	l := s.leases[int64(r.ID)]
	if l == nil {
		return nil, leaseNotFound()
	}
	s.endLease(l)
	return &leaseResponse{Header: s.header()}, nil
}
