// Package openai reads and writes the parts of the OpenAI HTTP API that
// egretflow uses (docs/engine-protocol.md). Everything else is forwarded unchanged.
//
// # Usage
//
//	req, err := openai.ParseRequest(openai.Chat, body)
//	if err != nil {
//		return err // a *egretflow.FieldError that names the field
//	}
//	prefill := req.EngineBody(openai.BodyOptions{Prefill: true, Priority: 1})
//
// # Rules
//
//  1. A chunk of a stream is scanned for the few members that are needed instead
//     of being decoded completely, which keeps the cost per token low.
//  2. If a chunk gets another id, the other bytes are forwarded unchanged.
package openai
