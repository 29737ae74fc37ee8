package egretflow

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
)

// KeyHash is the SHA-256 of an API key. Keys themselves are credentials and are not
// kept, sent to other instances or recorded.
type KeyHash [sha256.Size]byte

// HashKey returns the hash of an API key.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// MarshalText writes the hash in hexadecimal digits.
func (h KeyHash) MarshalText() ([]byte, error) {
	return hex.AppendEncode(nil, h[:]), nil
}

// UnmarshalText reads 64 hexadecimal digits.
func (h *KeyHash) UnmarshalText(text []byte) error {
	if hex.DecodedLen(len(text)) != len(h) {
		return fmt.Errorf("hash has %d characters, want %d", len(text), hex.EncodedLen(len(h)))
	}
	if _, err := hex.Decode(h[:], text); err != nil {
		return fmt.Errorf("decode hash: %w", err)
	}
	return nil
}

// Organisation is a caller that the tables name. Tables with organisations serve only
// requests that carry a key of one of them, except on public routes.
type Organisation struct {
	Name CallerName
	// Keys holds the hashes of the API keys of the organisation.
	Keys []KeyHash `json:",omitempty"`
	// Importance, if set, goes before the importance of the route.
	Importance Importance `json:",omitempty"`
	// Quota, if set, limits what the organisation may use of the whole fleet.
	Quota *Quota `json:",omitempty"`
}

// QuotaUnit says what a Quota counts.
type QuotaUnit string

// The quota units.
const (
	// QuotaUnitRequests counts each request as 1.
	QuotaUnitRequests QuotaUnit = "Requests"
	// QuotaUnitTokens counts a request with the prompt tokens and the largest output
	// that it states.
	QuotaUnitTokens QuotaUnit = "Tokens"
)

// UnmarshalText accepts only known quota units.
func (u *QuotaUnit) UnmarshalText(text []byte) error {
	return decodeEnum(u, text, []QuotaUnit{QuotaUnitRequests, QuotaUnitTokens})
}

// Quota limits what an organisation may use, summed over all instances: in any period,
// PerSecond times its length plus Burst.
type Quota struct {
	Unit QuotaUnit
	// PerSecond and Burst are in Unit.
	PerSecond float64
	Burst     float64
	// CallTokens is what a request that states no tokens counts as, in tokens.
	CallTokens int `json:",omitempty"`
}

// Cost returns what a request with the given token counts takes of the quota.
func (q *Quota) Cost(promptTokens, maxTokens int) int {
	switch {
	case q.Unit == QuotaUnitRequests:
		return 1
	case promptTokens+maxTokens == 0:
		return q.CallTokens
	}
	return promptTokens + maxTokens
}

func (q *Quota) check(field string) error {
	switch {
	case q.Unit != QuotaUnitRequests && q.Unit != QuotaUnitTokens:
		return &FieldError{field + ".Unit", "must be Requests or Tokens"}
	case !(q.PerSecond > 0):
		return &FieldError{field + ".PerSecond", "must be positive"}
	case !(q.Burst >= 0):
		return &FieldError{field + ".Burst", "must not be negative"}
	case q.CallTokens < 0 || q.CallTokens > MaxTokens:
		return &FieldError{field + ".CallTokens", "is out of range"}
	}
	return nil
}

// CheckOrganisations returns a *FieldError for the first invalid field. A key that
// belongs to two organisations is an error, because it would not identify its caller.
func CheckOrganisations(organisations []Organisation) error {
	names := make(map[CallerName]bool, len(organisations))
	owners := make(map[KeyHash]CallerName)
	for n := range organisations {
		o, field := &organisations[n], fmt.Sprintf("Organisations[%d]", n)
		if err := CheckName(field+".Name", string(o.Name)); err != nil {
			return err
		}
		if names[o.Name] {
			return &FieldError{field + ".Name", fmt.Sprintf("organisation %q is defined twice", o.Name)}
		}
		names[o.Name] = true
		for k, key := range o.Keys {
			if owner, ok := owners[key]; ok && owner != o.Name {
				return &FieldError{fmt.Sprintf("%s.Keys[%d]", field, k), fmt.Sprintf("organisation %q has the same key", owner)}
			}
			if key == HashKey("") {
				return &FieldError{fmt.Sprintf("%s.Keys[%d]", field, k), "is the hash of an empty key"}
			}
			owners[key] = o.Name
		}
		if o.Importance != "" && !slices.Contains(Importances, o.Importance) {
			return &FieldError{field + ".Importance", "must be Critical, High, Normal or Low"}
		}
		if o.Quota == nil {
			continue
		}
		if err := o.Quota.check(field + ".Quota"); err != nil {
			return err
		}
	}
	return nil
}

// OrganisationOfKey returns the organisation that has the key. Hashes are compared, so
// that the time it takes reveals nothing about the keys.
func (t *Tables) OrganisationOfKey(key string) (*Organisation, bool) {
	if key == "" {
		return nil, false
	}
	hash := HashKey(key)
	for n := range t.Organisations {
		if slices.Contains(t.Organisations[n].Keys, hash) {
			return &t.Organisations[n], true
		}
	}
	return nil, false
}

// Organisation returns the organisation with the given name.
func (t *Tables) Organisation(name CallerName) (*Organisation, bool) {
	n := slices.IndexFunc(t.Organisations, func(o Organisation) bool { return o.Name == name })
	if n < 0 {
		return nil, false
	}
	return &t.Organisations[n], true
}
