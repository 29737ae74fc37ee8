package messenger

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"github.com/egretflow/egretflow"
)

// Limits on decoded messages.
const (
	// MaxDemands is the maximum number of elements of any array in a message, for
	// example of the demands or grants in one Exchange.
	MaxDemands = 4096
	// MaxCrashes is the maximum number of crash reports in one Exchange.
	MaxCrashes = 256
	// MaxCrashServers is the maximum number of servers in one crash report.
	MaxCrashServers = 16
	// MaxSlots is the maximum of every count of slots.
	MaxSlots = 1 << 20
	// MaxBacklogTokens is the maximum of every count of prompt tokens in the
	// prefill load of an instance, per server or per pool and importance.
	MaxBacklogTokens = 1 << 30
	// MaxClaims is the maximum number of claims in one Commit.
	MaxClaims = 1024
	// MaxTextBytes is the maximum length of the key hash, token and content type
	// of a claim, and of the store key of its document.
	MaxTextBytes = 256
	// MaxExchangeBytes is the maximum size of an encoded Exchange.
	MaxExchangeBytes = 256 << 10
	// MaxMessageBytes is the maximum size of every other encoded message.
	MaxMessageBytes = 8 << 20
)

// maxNesting is the maximum nesting of arrays and maps in a message.
const maxNesting = 8

// codec implements connect.Codec with CBOR. It encodes Exchange messages in the
// compact form of the wire types.
type codec struct {
	names  *ServerNameCodec
	encode cbor.EncMode
	decode cbor.DecMode
}

func newCodec(names *ServerNameCodec) (*codec, error) {
	encode, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		return nil, fmt.Errorf("create CBOR encoder: %w", err)
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
		return nil, fmt.Errorf("create CBOR decoder: %w", err)
	}
	return &codec{names: names, encode: encode, decode: decode}, nil
}

// Name implements connect.Codec. The name becomes part of the content type.
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
