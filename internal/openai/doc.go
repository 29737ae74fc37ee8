// Package openai reads and writes the parts of the OpenAI HTTP API that
// egretflow relies on (docs/engine-protocol.md). Everything else passes through
// unchanged.
//
// # Usage
//
//	req, err := openai.ParseRequest(openai.Chat, body)
//	if err != nil {
//		return err // a *egretflow.FieldError that names the field
//	}
//	prefill := req.Body(openai.Variant{Prefill: true, Priority: 1})
//
// # Rules
//
//  1. A chunk of a stream is scanned for the few members that are needed and is
//     never decoded as a whole, which keeps the cost per token low.
//  2. Only the id of a chunk is rewritten; the other bytes are passed on.
package openai
