package engine

import (
	"fmt"
	"regexp"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/egretflow/egretflow"
)

// CrashMarker is a text that crashes the engine that runs a prompt containing it.
const CrashMarker = "CRASH-MARKER"

// Message is one chat message.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// PromptText returns the prompt text that the engine derives from chat messages.
func PromptText(messages []Message) string {
	var b strings.Builder
	for _, m := range messages {
		b.WriteString(m.Role + "\n" + m.Content + "\n")
	}
	return b.String()
}

// AnswerText returns the text of the answer tokens from first to last, counted from
// 1, that the engine generates for a prompt text.
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
	// text is the whole text, including the part of an answer that the request
	// continues.
	text string
	// answerHash is the hash of the text without the continued part. It
	// determines the answer.
	answerHash string
	// continuedTokens is the number of answer tokens in the continued part.
	continuedTokens int
	tokens          int
	// prefix holds the hash of the text up to the end of each full chunk.
	prefix []uint64
}

func newPrompt(text, original string, continuedTokens int) prompt {
	p := prompt{text: text, answerHash: promptHash(original), continuedTokens: continuedTokens}
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

// completionPrompt returns the prompt of a completion request. If the text ends with
// the first tokens of the answer to the text before them, the request continues
// that answer.
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
