package faultrun

import (
	"bufio"
	"encoding/json"
	"io"
	"strings"
	"time"

	"github.com/egretflow/egretflow"
)

// streamEnd says how a response of server-sent events ended.
type streamEnd string

// Ways in which a response ends.
const (
	// endDone means that the answer is complete.
	endDone streamEnd = "Done"
	// endError means that an error event or an undecodable event ended the
	// answer.
	endError streamEnd = "Error"
	// endHandedOver means that the answer is to be resumed at another instance.
	endHandedOver streamEnd = "HandedOver"
	// endBroken means that the connection broke.
	endBroken streamEnd = "Broken"
	// endUnmarked means that the response body ended without any of these
	// marks.
	endUnmarked streamEnd = "Unmarked"
)

// chunk holds the fields of an event or of a whole response that the checks
// use.
type chunk struct {
	Choices []struct {
		Delta        struct{ Content string }
		Message      struct{ Content string }
		Text         string
		FinishReason string `json:"finish_reason"`
	}
	Usage *struct {
		CompletionTokens int `json:"completion_tokens"`
	}
	Error *struct {
		Code     string
		RunState egretflow.RunState `json:"run_state"`
	}
}

// answer collects the events of one request. They may come from several
// instances.
type answer struct {
	text     strings.Builder
	lastID   string
	finishes int
	usages   int
	tokens   int
	done     int
	// events is the number of decoded events.
	events int
}

// read reads one response and returns how it ended. Incomplete events are
// dropped. Each line restarts the timeout.
func (a *answer) read(body io.Reader, timeout *time.Timer) streamEnd {
	lines := bufio.NewReader(body)
	end := endUnmarked
	var id, data string
	for {
		line, err := lines.ReadString('\n')
		if err != nil {
			if err != io.EOF {
				return endBroken
			}
			return end
		}
		timeout.Reset(callerTimeout)
		line = strings.TrimSuffix(line, "\n")
		if value, ok := strings.CutPrefix(line, "id: "); ok {
			id = value
		} else if value, ok := strings.CutPrefix(line, "data: "); ok {
			data = value
		} else if strings.HasPrefix(line, "retry: ") {
			end = endHandedOver
		} else if line == "" && data != "" {
			if e := a.add(id, data); e != "" {
				end = e
			}
			id, data = "", ""
		}
	}
}

// add takes one event and returns the end that it marks, or an empty streamEnd.
func (a *answer) add(id, data string) streamEnd {
	if data == "[DONE]" {
		a.done++
		return endDone
	}
	var c chunk
	if err := json.Unmarshal([]byte(data), &c); err != nil || c.Error != nil {
		return endError
	}
	if id != "" {
		a.lastID = id
	}
	for _, choice := range c.Choices {
		a.text.WriteString(choice.Delta.Content + choice.Text)
		if choice.FinishReason != "" {
			a.finishes++
		}
	}
	if c.Usage != nil {
		a.usages++
		a.tokens = c.Usage.CompletionTokens
	}
	a.events++
	return ""
}
