package relayer_test

import (
	"fmt"
	"strings"
	"testing"
)

// Guards against a stream that breaks off at any of its bytes and is continued at the
// wrong event, or looks complete.
func TestStreamCutAnywhere(t *testing.T) {
	const events, event = 3, "id: 1\ndata: e1\n\n"
	whole := event + strings.ReplaceAll(event, "1", "2") + strings.ReplaceAll(event, "1", "3")
	encode := strings.NewReplacer("\r", "^", "\n", "|", " ", "_")
	for framing, head := range map[string]string{
		"Length":   fmt.Sprintf("Content-Length: %d\r\n\r\n", len(whole)),
		"Chunked":  fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n", len(whole)),
		"Unframed": "\r\n",
	} {
		for end := range len(whole) + 1 {
			arrived := strings.Count(whole[:end], "\n\n")
			between := end == arrived*len(event)
			isWhole := end == len(whole) && framing == "Length" || framing == "Unframed" && between && arrived > 0
			next, got, from := 1, events, fmt.Sprint("from=e:", arrived)
			if isWhole {
				next, got = 0, arrived
			}
			if isWhole || arrived == 0 {
				from = ""
			}
			text := fmt.Sprintf(`
route kind=resumable attempts=2
server p stage=prefill
server d stage=decode
server e stage=decode
on p prefill
on d raw %s
on p prefill
on e events %d-%d
want status=200 body=%s runs=d:1,e:%d %s
`, encode.Replace("HTTP/1.1 200 X\r\nRequest: r1\r\nStamp: d\r\nContent-Type: text/event-stream\r\n"+head+whole[:end]), arrived+1, events, encodeBody(whole[:got*len(event)]), next, from)
			t.Run(fmt.Sprintf("%s/%d", framing, end), func(t *testing.T) {
				t.Parallel()
				parseScript(t, framing, text).run(t)
			})
		}
	}
}
