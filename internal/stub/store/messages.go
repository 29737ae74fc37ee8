package store

import (
	"bytes"
	"fmt"
	"strconv"
)

// number is a 64-bit integer that is encoded as a JSON string, as in the gateway,
// and decoded from a JSON string or number.
type number int64

// MarshalJSON encodes the number as a JSON string.
func (n number) MarshalJSON() ([]byte, error) {
	return strconv.AppendQuote(nil, strconv.FormatInt(int64(n), 10)), nil
}

// UnmarshalJSON decodes a JSON string or number.
func (n *number) UnmarshalJSON(data []byte) error {
	v, err := strconv.ParseInt(string(bytes.Trim(data, `"`)), 10, 64)
	if err != nil {
		return fmt.Errorf("parse integer: %w", err)
	}
	*n = number(v)
	return nil
}

// As in the gateway, responses omit fields with zero values.

type header struct {
	Revision number `json:"revision"`
}

type keyValue struct {
	Key            []byte `json:"key"`
	Value          []byte `json:"value,omitempty"`
	CreateRevision number `json:"create_revision,omitempty"`
	ModRevision    number `json:"mod_revision,omitempty"`
	Version        number `json:"version,omitempty"`
	Lease          number `json:"lease,omitempty"`
}

type rangeRequest struct {
	Key       []byte `json:"key"`
	RangeEnd  []byte `json:"range_end"`
	Limit     number `json:"limit"`
	KeysOnly  bool   `json:"keys_only"`
	CountOnly bool   `json:"count_only"`
}

type rangeResponse struct {
	Header header     `json:"header"`
	Kvs    []keyValue `json:"kvs,omitempty"`
	More   bool       `json:"more,omitempty"`
	Count  number     `json:"count,omitempty"`
}

type putRequest struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value"`
	Lease number `json:"lease"`
}

type deleteRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end"`
}

type deleteResponse struct {
	Header  header `json:"header"`
	Deleted number `json:"deleted,omitempty"`
}

type putResponse struct {
	Header header `json:"header"`
}

type compare struct {
	Key            []byte `json:"key"`
	Target         string `json:"target"`
	Result         string `json:"result"`
	Version        number `json:"version"`
	CreateRevision number `json:"create_revision"`
	ModRevision    number `json:"mod_revision"`
}

// operation has exactly one field set.
type operation struct {
	Range  *rangeRequest  `json:"request_range"`
	Put    *putRequest    `json:"request_put"`
	Delete *deleteRequest `json:"request_delete_range"`
}

type operationResponse struct {
	Range  *rangeResponse  `json:"response_range,omitempty"`
	Put    *putResponse    `json:"response_put,omitempty"`
	Delete *deleteResponse `json:"response_delete_range,omitempty"`
}

type txnRequest struct {
	Compare []compare   `json:"compare"`
	Success []operation `json:"success"`
	Failure []operation `json:"failure"`
}

type txnResponse struct {
	Header    header              `json:"header"`
	Succeeded bool                `json:"succeeded,omitempty"`
	Responses []operationResponse `json:"responses,omitempty"`
}

type watchRequest struct {
	Create struct {
		Key           []byte `json:"key"`
		RangeEnd      []byte `json:"range_end"`
		StartRevision number `json:"start_revision"`
	} `json:"create_request"`
}

type watchEvent struct {
	// Type is empty for a put and DELETE for a deletion.
	Type string   `json:"type,omitempty"`
	Kv   keyValue `json:"kv"`
}

type watchResponse struct {
	Header          header       `json:"header"`
	Created         bool         `json:"created,omitempty"`
	Canceled        bool         `json:"canceled,omitempty"`
	CompactRevision number       `json:"compact_revision,omitempty"`
	Events          []watchEvent `json:"events,omitempty"`
}

type leaseRequest struct {
	ID  number `json:"ID"`
	TTL number `json:"TTL"`
}

type leaseResponse struct {
	Header header `json:"header"`
	ID     number `json:"ID,omitempty"`
	TTL    number `json:"TTL,omitempty"`
}

// streamed wraps each message of a streaming call, as the gateway does.
type streamed struct {
	Result any `json:"result"`
}

// statusError is an error response of the gateway, sent with the HTTP status.
type statusError struct {
	status  int
	Code    int    `json:"code"`
	Message string `json:"message"`
	Err     string `json:"error"`
}

func (e *statusError) Error() string { return e.Message }
