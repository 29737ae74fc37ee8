package egretflow

import (
	"cmp"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Era counts how often the platform's store has come back from an older copy of
// itself. What was written in an earlier era may be gone, and its revisions are given
// out again. 0 is the only era of a store that does not name one.
type Era uint32

// StoreVersion identifies a state of the store: one revision of one era. Equal
// revisions of two eras are two states. The zero value is before every state.
type StoreVersion struct {
	Era      Era `json:",omitempty"`
	Revision int64
}

// Compare returns -1 if v is older than o, 0 if they are the same, and +1 if v is newer.
// A later era is newer, whatever the revisions.
func (v StoreVersion) Compare(o StoreVersion) int {
	if v.Era != o.Era {
		return cmp.Compare(v.Era, o.Era)
	}
	return cmp.Compare(v.Revision, o.Revision)
}

// After reports whether v is newer than o.
func (v StoreVersion) After(o StoreVersion) bool { return v.Compare(o) > 0 }

// Later returns the newer one of v and o.
func (v StoreVersion) Later(o StoreVersion) StoreVersion {
	if o.After(v) {
		return o
	}
	return v
}

// String returns the revision, with the era before it if there is one.
func (v StoreVersion) String() string {
	if v.Era == 0 {
		return fmt.Sprint(v.Revision)
	}
	return fmt.Sprintf("%d/%d", v.Era, v.Revision)
}

const (
	// fencingRevisionBits are the low bits of a fencing token, which hold the revision;
	// the era is above them. fencingBits is the size of the largest integer that every
	// JSON decoder reads exactly.
	fencingRevisionBits = 40
	fencingBits         = 53
)

// Fencing returns the fencing token for a key that was created at v. Tokens rise over
// revisions and over eras, so that no token is given out twice. In era 0 the token is
// the revision. It returns an error for a version beyond the range of tokens.
func (v StoreVersion) Fencing() (uint64, error) {
	if v.Revision < 0 || v.Revision >= 1<<fencingRevisionBits || v.Era >= 1<<(fencingBits-fencingRevisionBits) {
		return 0, &FieldError{Field: "Fencing", Reason: fmt.Sprintf("has no value for version %s", v)}
	}
	return uint64(v.Era)<<fencingRevisionBits | uint64(v.Revision), nil
}

// eraTag is the CBOR tag around a revision of era 0. Those of later eras have the tags
// that follow.
const eraTag = 1 << 16

// MarshalCBOR implements cbor.Marshaler. A version without an era is a plain integer. The
// era of another one is a tag around the integer, which decoders that know no eras skip.
func (v StoreVersion) MarshalCBOR() ([]byte, error) {
	if v.Era == 0 {
		return marshalCBOR(v.Revision)
	}
	return marshalCBOR(cbor.Tag{Number: eraTag + uint64(v.Era), Content: v.Revision})
}

func marshalCBOR(value any) ([]byte, error) {
	data, err := cbor.Marshal(value)
	if err != nil {
		return nil, fmt.Errorf("encode store version: %w", err)
	}
	return data, nil
}

// UnmarshalCBOR implements cbor.Unmarshaler.
func (v *StoreVersion) UnmarshalCBOR(data []byte) error {
	var tag cbor.RawTag
	if cbor.Unmarshal(data, &tag) != nil {
		tag = cbor.RawTag{Number: eraTag, Content: data}
	}
	if tag.Number < eraTag || tag.Number > eraTag+uint64(^Era(0)) {
		return &FieldError{Field: "Era", Reason: "is not a tag of an era"}
	}
	decoded := StoreVersion{Era: Era(tag.Number - eraTag)}
	if err := cbor.Unmarshal(tag.Content, &decoded.Revision); err != nil {
		return fmt.Errorf("decode store version: %w", err)
	}
	*v = decoded
	return nil
}

// EraFollower knows the latest era of the store, from the store's answers and from other
// instances. It is safe for concurrent use.
type EraFollower interface {
	// Learn notes that the store was in era when from answered: the name of another
	// instance, or empty for the store itself. It reports whether no later era is known;
	// an answer of an earlier one is to be ignored.
	Learn(era Era, from InstanceName) bool
	Latest() KnownEra
}

// KnownEra is the latest era that an instance knows of.
type KnownEra struct {
	Era Era
	// LearntAt is when the instance learnt of it, which is not before it began; zero if
	// the store has never named an era.
	LearntAt time.Time
}
