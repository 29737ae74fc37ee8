package openai

import (
	"encoding/json"
	"fmt"
	"time"
)

// ResponseBuilder merges the chunks of a stream into a non-streamed response.
type ResponseBuilder struct {
	text         []byte
	finishReason string
	usage        *Usage
	// otherMembers holds the merged members of the deltas except role and content.
	otherMembers map[string]any
}

// Add merges the next chunk.
func (a *ResponseBuilder) Add(c *Chunk) error {
	var err error
	if a.text, err = c.AppendText(a.text); err != nil {
		return fmt.Errorf("collect text: %w", err)
	}
	if reason := c.FinishReason(); reason != "" {
		a.finishReason = reason
	}
	if c.HasUsage() {
		usage, err := c.Usage()
		if err != nil {
			return fmt.Errorf("collect usage: %w", err)
		}
		a.usage = &usage
	}
	if c.HasOtherMembers {
		return a.mergeDelta(c.data)
	}
	return nil
}

// mergeDelta merges the other members of the deltas of a chunk.
func (a *ResponseBuilder) mergeDelta(data []byte) error {
	var chunk struct {
		Choices []struct {
			Delta map[string]any `json:"delta"`
		} `json:"choices"`
	}
	if err := json.Unmarshal(data, &chunk); err != nil {
		return fmt.Errorf("decode delta: %w", err)
	}
	for _, choice := range chunk.Choices {
		delete(choice.Delta, "content")
		delete(choice.Delta, "role")
		a.otherMembers = merge(a.otherMembers, choice.Delta)
	}
	return nil
}

// merge merges delta into the members of earlier deltas as the OpenAI API defines
// it: strings are concatenated, except for id and type, which are replaced; array
// elements are matched by their index member.
func merge(into, delta map[string]any) map[string]any {
	if into == nil {
		into = map[string]any{}
	}
	for key, value := range delta {
		switch v := value.(type) {
		case nil:
		case string:
			old, _ := into[key].(string)
			if key == "id" || key == "type" {
				old = ""
			}
			into[key] = old + v
		case map[string]any:
			old, _ := into[key].(map[string]any)
			into[key] = merge(old, v)
		case []any:
			old, _ := into[key].([]any)
			into[key] = mergeList(old, v)
		default:
			into[key] = v
		}
	}
	return into
}

// mergeList merges the elements whose index is in the array and appends the others.
func mergeList(into, delta []any) []any {
	for _, value := range delta {
		element, _ := value.(map[string]any)
		index, ok := element["index"].(float64)
		if at := int(index); ok && at >= 0 && at < len(into) {
			old, _ := into[at].(map[string]any)
			into[at] = merge(old, element)
			continue
		}
		into = append(into, value)
	}
	return into
}

// JSON returns the body of the non-streamed response for the endpoint.
func (a *ResponseBuilder) JSON(endpoint Endpoint, id, model string, created time.Time) ([]byte, error) {
	object := "chat.completion"
	choice := map[string]any{"index": 0, "finish_reason": a.finishReason}
	if endpoint == Completions {
		object = "text_completion"
		choice["text"] = string(a.text)
	} else {
		message := map[string]any{"role": "assistant", "content": string(a.text)}
		for key, value := range a.otherMembers {
			message[key] = value
		}
		choice["message"] = message
	}
	data, err := json.Marshal(map[string]any{
		"id": id, "object": object, "created": created.Unix(), "model": model,
		"choices": []any{choice}, "usage": a.usage,
	})
	if err != nil {
		return nil, fmt.Errorf("encode response: %w", err)
	}
	return data, nil
}
