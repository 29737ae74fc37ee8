package engine

import (
	"fmt"
	"regexp"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/egretflow/egretflow"
)

// CrashMarker in a prompt crashes the engine that runs it.
const CrashMarker = "CRASH-MARKER"

// Message is one chat message.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// PromptText returns the prompt text of chat messages.
func PromptText(messages []Message) string {
	var b strings.Builder
	for _, m := range messages {
		b.WriteString(m.Role + "\n" + m.Content + "\n")
	}
	return b.String()
}

// AnswerText returns the tokens first to last, counted from 1, of the answer
// to a prompt text.
func AnswerText(prompt string, first, last int) string {
	hash := promptHash(prompt)
	var b strings.Builder
	for n := first; n <= last; n++ {
		b.WriteString(tokenText(hash, n))
	}
	return b.String()
}

func promptHash(prompt string) string {
	return fmt.Sprintf("%016x", xxhash.Sum64String(prompt))[:8]
}

func tokenText(hash string, n int) string {
	return string(appendToken(nil, hash, n))
}

// prompt is the input of one request.
type prompt struct {
	// text is the whole text, with the part of the answer that is continued.
	text string
	// hash determines the answer; it leaves out the continued part.
	hash string
	// done is the number of answer tokens in the continued part.
	done   int
	tokens int
	// prefix holds the hash of the text up to the end of each full chunk.
	prefix []uint64
}

func newPrompt(text, original string, done int) prompt {
	p := prompt{text: text, hash: promptHash(original), done: done}
	p.tokens = max(1, (len(text)+egretflow.PromptBytesPerToken-1)/egretflow.PromptBytesPerToken)
	digest := xxhash.New()
	for end := egretflow.PrefixChunkBytes; end <= len(text); end += egretflow.PrefixChunkBytes {
		_, _ = digest.WriteString(text[end-egretflow.PrefixChunkBytes : end])
		p.prefix = append(p.prefix, digest.Sum64())
	}
	return p
}

func chatPrompt(messages []Message, continued bool) prompt {
	text := PromptText(messages)
	last := len(messages) - 1
	if !continued || last < 0 || messages[last].Role != "assistant" {
		return newPrompt(text, text, 0)
	}
	return newPrompt(text, PromptText(messages[:last]), strings.Count(messages[last].Content, " "))
}

var (
	answerSuffix = regexp.MustCompile(`(?:w[0-9a-f]{8}-[0-9]+ )+$`)
	firstToken   = regexp.MustCompile(`w([0-9a-f]{8})-1 `)
)

// completionPrompt finds the part of the own answer at the end of the text, if
// the request continues one.
func completionPrompt(text string) prompt {
	suffix := answerSuffix.FindStringIndex(text)
	if suffix == nil {
		return newPrompt(text, text, 0)
	}
	for _, at := range firstToken.FindAllStringSubmatchIndex(text[suffix[0]:], -1) {
		start := suffix[0] + at[0]
		if promptHash(text[:start]) == text[suffix[0]+at[2]:suffix[0]+at[3]] {
			return newPrompt(text, text[:start], strings.Count(text[start:], " "))
		}
	}
	return newPrompt(text, text, 0)
}
