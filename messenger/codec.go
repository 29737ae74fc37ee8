package messenger

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"github.com/egretflow/egretflow"
)

// Bounds on decoded messages.
const (
	// MaxDemands bounds the servers in one Exchange.
	MaxDemands = 4096
	// MaxCrashes bounds the crash reports in one Exchange.
	MaxCrashes = 256
	// MaxCrashServers bounds the servers in one crash report.
	MaxCrashServers = 16
	// MaxSlots bounds every count of slots.
	MaxSlots = 1 << 20
	// MaxBacklogTokens bounds the prefill work of one instance on one server.
	MaxBacklogTokens = 1 << 30
	// MaxClaims bounds the claims in one Commit.
	MaxClaims = 1024
	// MaxTextBytes bounds a token, key or content type in a claim.
	MaxTextBytes = 256
	// MaxExchangeBytes bounds an encoded Exchange.
	MaxExchangeBytes = 256 << 10
	// MaxMessageBytes bounds every other encoded message.
	MaxMessageBytes = 8 << 20
)

const maxNesting = 8

// codec implements connect.Codec.
type codec struct {
	names  *Names
	encode cbor.EncMode
	decode cbor.DecMode
}

func newCodec(names *Names) (*codec, error) {
	encode, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		return nil, fmt.Errorf("set up cbor encoder: %w", err)
	}
	decode, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
		MaxArrayElements: MaxDemands,
		MaxMapPairs:      64,
		MaxNestedLevels:  maxNesting,
		IntDec:           cbor.IntDecConvertNone,
	}.DecMode()
	if err != nil {
		return nil, fmt.Errorf("set up cbor decoder: %w", err)
	}
	return &codec{names: names, encode: encode, decode: decode}, nil
}

// Name implements connect.Codec; it becomes part of the content type.
func (c *codec) Name() string { return "cbor" }

// Marshal implements connect.Codec.
func (c *codec) Marshal(message any) ([]byte, error) {
	switch m := message.(type) {
	case *egretflow.ExchangeRequest:
		message = c.names.wireRequest(m)
	case *egretflow.ExchangeResponse:
		message = c.names.wireResponse(m)
	}
	data, err := c.encode.Marshal(message)
	if err != nil {
		return nil, fmt.Errorf("encode %T: %w", message, err)
	}
	return data, nil
}

// Unmarshal implements connect.Codec. It returns an error for a message that
// fails its checks (rule 1).
func (c *codec) Unmarshal(data []byte, message any) error {
	if err := c.unmarshal(data, message); err != nil {
		return fmt.Errorf("decode %T: %w", message, err)
	}
	return check(message)
}

func (c *codec) unmarshal(data []byte, message any) error {
	switch m := message.(type) {
	case *egretflow.ExchangeRequest:
		var w wireRequest
		if err := c.decode.Unmarshal(data, &w); err != nil {
			return err
		}
		r, err := c.names.exchangeRequest(&w)
		if err != nil {
			return err
		}
		*m = *r
		return nil
	case *egretflow.ExchangeResponse:
		var w wireResponse
		if err := c.decode.Unmarshal(data, &w); err != nil {
			return err
		}
		*m = *c.names.exchangeResponse(&w)
		return nil
	}
	return c.decode.Unmarshal(data, message)
}
