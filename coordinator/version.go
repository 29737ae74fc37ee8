package coordinator

import (
	"bytes"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/egretflow/egretflow"
)

// Instances of different versions run side by side during an upgrade. Their structs are
// arrays without field names, and earlier versions refuse an array of another length.
// A message therefore keeps the oldest layout that has room for it, unless its receiver
// is known to read a newer one. Each message begins with layoutTag once for each layout
// after the first that its sender reads. Earlier versions skip these tags.

// layoutTag is the encoded tag of CBOR that describes itself (RFC 8949, 3.4.6).
var layoutTag = []byte{0xd9, 0xd9, 0xf7}

// layout numbers the layouts of a work.
type layout int

const (
	// layoutFields has the workFields alone.
	layoutFields layout = iota
	// layoutPrefixEnds also has the lengths of kept beginnings.
	layoutPrefixEnds
	// layoutMoreParts also has more than fieldParts parts.
	layoutMoreParts
	presentLayout = layoutMoreParts
)

// fieldParts is the number of parts in workFields that earlier versions accept.
const fieldParts = 32

// prefixedWork is a wireWork in layoutPrefixEnds, an array of two elements.
type prefixedWork struct {
	_          struct{} `cbor:",toarray"`
	Fields     workFields
	PrefixEnds []int
}

// partedWork is a wireWork in layoutMoreParts, an array of three elements.
type partedWork struct {
	_          struct{} `cbor:",toarray"`
	Fields     workFields
	PrefixEnds []int
	MoreParts  []egretflow.PartHash
}

// The first bytes of an encoded prefixedWork and partedWork.
const (
	arrayOfTwo   = 0x82
	arrayOfThree = 0x83
)

// MarshalCBOR writes the oldest layout that has room for the work.
func (w wireWork) MarshalCBOR() ([]byte, error) {
	var value any = w.workFields
	switch {
	case len(w.MoreParts) > 0:
		value = partedWork{Fields: w.workFields, PrefixEnds: w.PrefixEnds, MoreParts: w.MoreParts}
	case len(w.PrefixEnds) > 0:
		value = prefixedWork{Fields: w.workFields, PrefixEnds: w.PrefixEnds}
	}
	data, err := cbor.Marshal(value)
	return data, errors.Wrap(err, "encode work")
}

// UnmarshalCBOR reads all layouts.
func (w *wireWork) UnmarshalCBOR(data []byte) error {
	w.PrefixEnds, w.MoreParts = nil, nil
	switch {
	case len(data) > 0 && data[0] == arrayOfTwo:
		var x prefixedWork
		if err := cbor.Unmarshal(data, &x); err != nil {
			return errors.Wrap(err, "decode work with lengths")
		}
		w.workFields, w.PrefixEnds = x.Fields, x.PrefixEnds
	case len(data) > 0 && data[0] == arrayOfThree:
		var x partedWork
		if err := cbor.Unmarshal(data, &x); err != nil {
			return errors.Wrap(err, "decode work with more parts")
		}
		w.workFields, w.PrefixEnds, w.MoreParts = x.Fields, x.PrefixEnds, x.MoreParts
	default:
		return errors.Wrap(cbor.Unmarshal(data, &w.workFields), "decode work")
	}
	return nil
}

// maxVersions bounds the instances whose version is remembered.
const maxVersions = 4096

// noteVersion notes which layouts an instance reads.
func (t *task) noteVersion(name egretflow.InstanceName, reads layout) {
	if len(t.layouts) >= maxVersions {
		clear(t.layouts)
	}
	t.layouts[name] = reads
}

// reduce removes from r what a layout lacks, and with it the hashes that would be
// misread: without their lengths they stand for beginnings of other lengths.
func (r *request) reduce(reads layout) {
	for n := range r.Waiting {
		r.Waiting[n].Work.reduce(reads)
	}
	for n := range r.Running {
		r.Running[n].Work.reduce(reads)
	}
}

func (w *wireWork) reduce(reads layout) {
	if reads < layoutMoreParts {
		w.MoreParts = nil
	}
	if reads < layoutPrefixEnds && len(w.PrefixEnds) > 0 {
		w.Prefix, w.PrefixEnds = nil, nil
	}
}

// encode encodes a message.
func encode(m *message) ([]byte, error) {
	data, err := cbor.Marshal(m)
	if err != nil {
		return nil, errors.Wrap(err, "encode datagram")
	}
	return append(bytes.Repeat(layoutTag, int(presentLayout)), data...), nil
}

// decode decodes and checks a datagram. It returns the newest layout that the sender
// reads.
func decode(data []byte) (m *message, reads layout, err error) {
	for reads < presentLayout && bytes.HasPrefix(data, layoutTag) {
		data, reads = data[len(layoutTag):], reads+1
	}
	m = &message{}
	if err := cbor.Unmarshal(data, m); err != nil {
		return nil, 0, errors.Wrap(err, "decode datagram")
	}
	if err := m.check(); err != nil {
		return nil, 0, errors.Wrap(err, "check datagram")
	}
	return m, reads, nil
}
