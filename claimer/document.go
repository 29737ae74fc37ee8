package claimer

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/egretflow/egretflow"
	"github.com/pkg/errors"
)

const (
	// documentOpen and documentClose enclose the encoded claims of a document.
	documentOpen  = `{"Claims":[`
	documentClose = `]}`
	// outcomeReserveBytes is the space that is reserved for every record in the
	// state Claimed, so that an outcome without a body always fits.
	outcomeReserveBytes = 256
)

var (
	errDocumentFull = errors.New("claim document is full")
	errNoRecord     = errors.New("claim has no record")
)

// record is a claim with its JSON encoding, which is kept so that a write of
// the document does not encode all claims again.
type record struct {
	claim   egretflow.Claim
	encoded []byte
}

func newRecord(c egretflow.Claim) (record, error) {
	encoded, err := json.Marshal(c)
	if err != nil {
		return record{}, fmt.Errorf("encode claim: %w", err)
	}
	return record{claim: c, encoded: encoded}, nil
}

// size returns the bytes that the record takes in the document, including the
// space reserved for its outcome.
func (r record) size() int {
	n := len(r.encoded) + len(",")
	if r.claim.State == egretflow.ClaimStateClaimed {
		n += outcomeReserveBytes
	}
	return n
}

// document is a claim document in memory. Every key has at most one record.
type document struct {
	records []record
	byKey   map[string]int
	size    int
}

// newDocument returns an empty document.
func newDocument() *document {
	return &document{byKey: map[string]int{}, size: len(documentOpen) + len(documentClose)}
}

// decodeDocument decodes a stored document without the records that expired
// more than RetentionMargin ago.
func decodeDocument(data []byte, now time.Time) (*document, error) {
	var stored egretflow.ClaimDocument
	if err := json.Unmarshal(data, &stored); err != nil {
		return nil, fmt.Errorf("decode claim document: %w", err)
	}
	d := newDocument()
	for _, c := range stored.Claims {
		if c.KeyHash == "" || c.State == "" {
			// Without the record, its request could run again (7.4).
			return nil, errors.New("decode claim document: claim without key or state")
		}
		if now.After(c.ExpiresAt.Add(RetentionMargin)) {
			continue
		}
		r, err := newRecord(c)
		if err != nil {
			return nil, err
		}
		d.put(r)
	}
	return d, nil
}

// encode returns the stored form of the document, of at most size bytes.
func (d *document) encode() []byte {
	data := make([]byte, 0, d.size)
	data = append(data, documentOpen...)
	for n, r := range d.records {
		if n > 0 {
			data = append(data, ',')
		}
		data = append(data, r.encoded...)
	}
	return append(data, documentClose...)
}

func (d *document) get(keyHash string) (egretflow.Claim, bool) {
	n, ok := d.byKey[keyHash]
	if !ok {
		return egretflow.Claim{}, false
	}
	return d.records[n].claim, true
}

func (d *document) put(r record) {
	if n, ok := d.byKey[r.claim.KeyHash]; ok {
		d.size += r.size() - d.records[n].size()
		d.records[n] = r
		return
	}
	d.byKey[r.claim.KeyHash] = len(d.records)
	d.records = append(d.records, r)
	d.size += r.size()
}

// apply applies a claim or update to the document if the current record of the
// key allows it. It returns the record in force afterwards and whether the
// document changed.
func (d *document) apply(c egretflow.Claim) (inForce egretflow.Claim, changed bool, err error) {
	if c.State == egretflow.ClaimStateClaimed {
		return d.applyClaim(c)
	}
	return d.applyUpdate(c)
}

// applyClaim stores a claim if the key has no record, or a NotRun record of
// another claim with the same fingerprint.
func (d *document) applyClaim(c egretflow.Claim) (egretflow.Claim, bool, error) {
	known, ok := d.get(c.KeyHash)
	switch {
	case !ok:
		c.Epoch = 1
	case known.State == egretflow.ClaimStateNotRun && known.Token != c.Token && known.Fingerprint == c.Fingerprint:
		c.Epoch = known.Epoch + 1
	default:
		return known, false, nil
	}
	return d.store(c)
}

// applyUpdate writes the final state of a claim if the key's record carries its
// token and is in the state Claimed. A NotRun update for a key without a record
// stores one, so that the claim has no effect if it arrives later.
func (d *document) applyUpdate(c egretflow.Claim) (egretflow.Claim, bool, error) {
	known, ok := d.get(c.KeyHash)
	if !ok {
		if c.State != egretflow.ClaimStateNotRun {
			return egretflow.Claim{}, false, errNoRecord
		}
		return d.store(c)
	}
	if known.Token != c.Token || known.State != egretflow.ClaimStateClaimed {
		return known, false, nil
	}
	known.State, known.Outcome = c.State, c.Outcome
	return d.store(known)
}

// store puts a claim into the document, without the body of its outcome if that
// does not fit. It returns errDocumentFull if the claim does not fit at all.
func (d *document) store(c egretflow.Claim) (egretflow.Claim, bool, error) {
	r, err := newRecord(c)
	if err != nil {
		return egretflow.Claim{}, false, err
	}
	old := 0
	if n, ok := d.byKey[c.KeyHash]; ok {
		old = d.records[n].size()
	}
	if d.size-old+r.size() <= egretflow.MaxStoreValueBytes {
		d.put(r)
		return c, true, nil
	}
	if c.Outcome == nil || c.Outcome.Truncated {
		return egretflow.Claim{}, false, errDocumentFull
	}
	c.Outcome = withoutBody(c.Outcome)
	return d.store(c)
}

// withoutBody returns a truncated outcome that fits into outcomeReserveBytes.
func withoutBody(o *egretflow.Outcome) *egretflow.Outcome {
	return &egretflow.Outcome{Status: o.Status, Truncated: true}
}

// boundOutcome returns o, or only its status if its body or content type is too
// large to be recorded.
func boundOutcome(o *egretflow.Outcome) *egretflow.Outcome {
	if o == nil || len(o.Body) <= MaxOutcomeBytes && len(o.ContentType) <= MaxKeyBytes {
		return o
	}
	return withoutBody(o)
}
