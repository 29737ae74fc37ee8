package accountant

import (
	"fmt"
	"math"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/egretflow/egretflow"
)

const (
	// maxDatagramBytes bounds one encoded message.
	maxDatagramBytes = 60 << 10
	// maxListed bounds the entries of each list in a message. More questions wait for the
	// answer.
	maxListed = 500
	// maxFleet bounds the size of the fleet that a message states.
	maxFleet = 1 << 20
	// maxCost bounds the cost of one request.
	maxCost = 2 * egretflow.MaxTokens
	// maxAgeMicros is the longest age in microseconds that a time.Duration can hold.
	maxAgeMicros = math.MaxInt64 / int64(time.Microsecond)
)

// messageKind distinguishes the two kinds of datagrams.
type messageKind string

const (
	kindRequest  messageKind = "Request"
	kindResponse messageKind = "Response"
)

// message is the content of one datagram, in CBOR.
type message struct {
	_           struct{} `cbor:",toarray"`
	Kind        messageKind
	From        egretflow.InstanceName
	Incarnation uint64
	Shard       int
	// Fleet is the number of instances that the sender knows of.
	Fleet    int
	Request  *request
	Response *response
}

// request is the whole state of one instance for a shard (rule 2).
type request struct {
	_        struct{} `cbor:",toarray"`
	Sequence uint64
	// Owner is the incarnation of the owner that made Stamp; 0 without a stamp.
	Owner uint64
	// Stamp is the newest stamp of the owner that the sender has received, StampAge the
	// time since then in microseconds.
	Stamp    int64
	StampAge int64
	// Vote reports whether the sender votes for the receiver, Release whether the receiver
	// must drop its vote.
	Vote    bool
	Release bool
	// Takeover, if not 0, gives the receiver the part of the sender in the takeover
	// allowance. Each number counts once.
	Takeover  uint64
	Questions []question
	Refunds   []refund
}

// question asks for the quota for one request.
type question struct {
	_            struct{} `cbor:",toarray"`
	ID           uint64
	Organisation egretflow.CallerName
	Cost         int
	// Final asks for a decision also from a new owner that has no room yet.
	Final bool
}

// refund gives a charge back. Refunds are numbered in their order.
type refund struct {
	_            struct{} `cbor:",toarray"`
	Number       uint64
	Organisation egretflow.CallerName
	Cost         int
	// Age is the time since the charge in microseconds.
	Age int64
}

// response answers a request.
type response struct {
	_ struct{} `cbor:",toarray"`
	// Sequence is that of the request.
	Sequence uint64
	// Stamp is the time on the clock of the owner, in microseconds.
	Stamp int64
	// Refunded is the number of the newest refund that was applied.
	Refunded uint64
	// Decided is false if the request had no valid stamp, so that its questions must be
	// asked again. A new owner may leave single ones without a result.
	Decided bool
	// Released reports whether the vote of the receiver was dropped.
	Released bool
	// Leaving reports whether the owner shuts down.
	Leaving bool
	Results []result
}

// result is the decision for one question.
type result struct {
	_       struct{} `cbor:",toarray"`
	ID      uint64
	Granted bool
	Never   bool
	// Unsure reports whether a request was refused by an owner that counts for less than
	// half of the fleet. The organisation may be within its limit.
	Unsure bool
	// RetryAfter is in microseconds, for a refused request.
	RetryAfter int64
	// Left is what was left for the organisation, or -1 if the owner knows no quota.
	Left int64
}

func decode(data []byte) (*message, error) {
	var m message
	if err := cbor.Unmarshal(data, &m); err != nil {
		return nil, fmt.Errorf("decode datagram: %w", err)
	}
	if err := m.check(); err != nil {
		return nil, fmt.Errorf("check datagram: %w", err)
	}
	return &m, nil
}

func (m *message) check() error {
	if err := egretflow.CheckName("From", string(m.From)); err != nil {
		return err
	}
	switch {
	case m.Shard < 0 || m.Shard >= shardCount:
		return &egretflow.FieldError{Field: "Shard", Reason: "is out of range"}
	case m.Fleet < 0 || m.Fleet > maxFleet:
		return &egretflow.FieldError{Field: "Fleet", Reason: "is out of range"}
	case m.Kind == kindRequest && m.Request != nil:
		return m.Request.check()
	case m.Kind == kindResponse && m.Response != nil:
		return m.Response.check()
	}
	return &egretflow.FieldError{Field: "Kind", Reason: "does not match the content"}
}

func (r *request) check() error {
	if max(len(r.Questions), len(r.Refunds)) > maxListed {
		return &egretflow.FieldError{Field: "Request", Reason: "lists too many entries"}
	}
	if r.StampAge < 0 || r.StampAge > maxAgeMicros {
		return &egretflow.FieldError{Field: "StampAge", Reason: "is out of range"}
	}
	for n := range r.Questions {
		if err := checkCharge(r.Questions[n].Organisation, r.Questions[n].Cost); err != nil {
			return err
		}
	}
	for n := range r.Refunds {
		x := &r.Refunds[n]
		if x.Age < 0 || x.Age > maxAgeMicros {
			return &egretflow.FieldError{Field: "Age", Reason: "is out of range"}
		}
		if err := checkCharge(x.Organisation, x.Cost); err != nil {
			return err
		}
	}
	return nil
}

func checkCharge(o egretflow.CallerName, cost int) error {
	if cost <= 0 || cost > maxCost {
		return &egretflow.FieldError{Field: "Cost", Reason: "is out of range"}
	}
	return egretflow.CheckName("Organisation", string(o))
}

// maxRetryAfter bounds the time that a response may ask callers to wait.
const maxRetryAfter = time.Hour

func (r *response) check() error {
	if len(r.Results) > maxListed {
		return &egretflow.FieldError{Field: "Results", Reason: "lists too many entries"}
	}
	for n := range r.Results {
		if after := r.Results[n].RetryAfter; after < 0 || after > maxRetryAfter.Microseconds() {
			return &egretflow.FieldError{Field: "RetryAfter", Reason: "is out of range"}
		}
	}
	return nil
}
