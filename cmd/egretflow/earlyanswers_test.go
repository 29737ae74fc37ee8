package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// uploadBytes is the size of an upload that does not fit into the buffers of a connection
// whose server does not read it.
const uploadBytes = 3 << 20

// uploadRepeats is how often each early answer is sent. Whether the reader or the writer of
// a connection notices a reset depends on the order in which the system wakes them.
const uploadRepeats = 20

// respondEarly returns a respondFunc that writes an answer before it reads the upload, and
// then ends the connection with end.
func respondEarly(text string, end func(conn *net.TCPConn)) respondFunc {
	return func(conn *net.TCPConn, _ *http.Request, expand func(string) string) {
		_, _ = io.WriteString(conn, expand(text))
		end(conn)
	}
}

// reset ends a connection without an end of what was sent on it, while the instance writes
// the upload. resetReading does so after it has read a part of the upload, resetLate when
// the instance waits for room to write.
func reset(conn *net.TCPConn) { _ = conn.SetLinger(0) }

func resetReading(conn *net.TCPConn) {
	_, _ = io.CopyN(io.Discard, conn, uploadBytes/6)
	reset(conn)
}

func resetLate(conn *net.TCPConn) {
	time.Sleep(20 * time.Millisecond)
	reset(conn)
}

// readOn ends what is sent on a connection and reads on until the other side closes it.
func readOn(conn *net.TCPConn) {
	_ = conn.CloseWrite()
	_ = conn.SetReadDeadline(time.Now().Add(time.Second))
	_, _ = io.Copy(io.Discard, conn)
}

// closeUnread ends what is sent on a connection and closes it before the upload was read,
// so that the rest of the upload is answered with a reset.
func closeUnread(conn *net.TCPConn) { _ = conn.CloseWrite() }

// Guards against an answer without a length that is cut by a reset during a long upload and
// reaches its caller as a whole one, and against a sound early answer that is lost.
func TestEarlyAnswers(t *testing.T) {
	const unframed = "HTTP/1.1 200 OK\r\n{Fields}Connection: close\r\n\r\n"
	for _, c := range []struct {
		name, text string
		end        func(conn *net.TCPConn)
		kind       answerKind
	}{
		{"CutCall", unframed + "the whole", reset, answerBroken},
		{"CutCallReading", unframed + "the whole", resetReading, answerBroken},
		{"CutCallLate", unframed + "the whole", resetLate, answerBroken},
		{"CutStream", unframed + firstEvent, reset, answerBrokenEnd},
		{"CutStreamReading", unframed + firstEvent, resetReading, answerBrokenEnd},
		{"CutStreamLate", unframed + firstEvent, resetLate, answerBrokenEnd},
		{"EmptyReset", unframed, reset, answerBroken},
		{"EndsAndReadsOn", unframed + "{Body}", readOn, answerSound},
		{"EndsUnread", unframed + "{Body}", closeUnread, answerSound},
		{"LengthAndReset", soundAnswer, reset, answerSound},
		{"ChunksAndReset", "HTTP/1.1 200 OK\r\n{Fields}Transfer-Encoding: chunked\r\n\r\n{Chunks}\r\n", reset, answerSound},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			w := startAnswerWorld(t, respondEarly(c.text, c.end))
			kinds := []requestKind{kindLookup, kindFailing, kindOrder, kindLetter, kindDraft}
			switch {
			case strings.HasPrefix(c.name, "CutCall"):
				kinds = kinds[:3]
			case strings.HasPrefix(c.name, "CutStream"):
				kinds = kinds[3:]
			}
			for _, kind := range kinds {
				for n := range uploadRepeats {
					w.checkAnswer(t, kind, fmt.Sprint(kind, "-", n), uploadBytes, c.kind)
				}
			}
		})
	}
}
