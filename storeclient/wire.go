package storeclient

import "github.com/egretflow/egretflow"

// The types of this file are the messages of the etcd v3 gateway. The gateway
// encodes bytes in base64, as encoding/json does, and 64-bit integers as
// strings, and omits fields with zero values.

type header struct {
	Revision int64 `json:"revision,string"`
}

type rangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
}

type rangeResponse struct {
	KVs []keyValue `json:"kvs"`
}

type keyValue struct {
	Key            []byte `json:"key"`
	Value          []byte `json:"value"`
	ModRevision    int64  `json:"mod_revision,string"`
	CreateRevision int64  `json:"create_revision,string"`
}

// entry returns the key as a StoreEntry with a value that is never nil, because
// a nil value means a deletion.
func (kv keyValue) entry() egretflow.StoreEntry {
	value := kv.Value
	if value == nil {
		value = []byte{}
	}
	return egretflow.StoreEntry{
		Key:      string(kv.Key),
		Value:    value,
		Modified: egretflow.StoreVersion{Revision: kv.ModRevision},
		Created:  egretflow.StoreVersion{Revision: kv.CreateRevision},
	}
}

type txnRequest struct {
	Compare []compare   `json:"compare"`
	Success []requestOp `json:"success"`
}

type compare struct {
	Key         []byte `json:"key"`
	Target      string `json:"target"`
	Result      string `json:"result"`
	ModRevision int64  `json:"mod_revision,string"`
}

type requestOp struct {
	Put    *putRequest   `json:"request_put,omitempty"`
	Delete *rangeRequest `json:"request_delete_range,omitempty"`
}

type putRequest struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value"`
	Lease int64  `json:"lease,string,omitempty"`
}

type txnResponse struct {
	Header    header `json:"header"`
	Succeeded bool   `json:"succeeded"`
}

// encodeTxn converts a transaction to the request of the gateway.
func encodeTxn(txn egretflow.StoreTxn) txnRequest {
	r := txnRequest{Compare: []compare{}, Success: []requestOp{}}
	for _, c := range txn.Conditions {
		r.Compare = append(r.Compare, compare{
			Key: []byte(c.Key), Target: "MOD", Result: "EQUAL", ModRevision: c.Modified.Revision,
		})
	}
	for _, w := range txn.Writes {
		if w.Delete {
			r.Success = append(r.Success, requestOp{Delete: &rangeRequest{Key: []byte(w.Key)}})
			continue
		}
		put := &putRequest{Key: []byte(w.Key), Value: w.Value, Lease: w.Lease.Number}
		r.Success = append(r.Success, requestOp{Put: put})
	}
	return r
}

type leaseRequest struct {
	ID  int64 `json:"ID,string,omitempty"`
	TTL int64 `json:"TTL,string,omitempty"`
}

type leaseResponse struct {
	ID  int64 `json:"ID,string"`
	TTL int64 `json:"TTL,string"`
}

type watchRequest struct {
	Create watchCreate `json:"create_request"`
}

type watchCreate struct {
	Key           []byte `json:"key"`
	RangeEnd      []byte `json:"range_end,omitempty"`
	StartRevision int64  `json:"start_revision,string"`
}

type watchMessage struct {
	Result struct {
		Canceled        bool         `json:"canceled"`
		CancelReason    string       `json:"cancel_reason"`
		CompactRevision int64        `json:"compact_revision,string"`
		Events          []watchEvent `json:"events"`
	} `json:"result"`
	Error *struct {
		Message string `json:"message"`
	} `json:"error"`
}

type watchEvent struct {
	Type string   `json:"type"`
	KV   keyValue `json:"kv"`
}

// entry returns the changed key, with a nil value for a deletion.
func (e watchEvent) entry() egretflow.StoreEntry {
	entry := e.KV.entry()
	if e.Type == "DELETE" {
		entry.Value = nil
	}
	return entry
}

// prefixEnd returns the first key after all keys with the prefix. For an empty
// prefix or one of 0xff bytes only, it returns a zero byte, which the gateway
// treats as no end.
func prefixEnd(prefix string) []byte {
	end := []byte(prefix)
	for n := len(end) - 1; n >= 0; n-- {
		if end[n] < 0xff {
			end[n]++
			return end[:n+1]
		}
	}
	return []byte{0}
}
