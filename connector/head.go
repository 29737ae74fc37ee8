package connector

import (
	"bytes"
	"fmt"
	"io"
	"strings"
)

// headReader reads the heads of the responses on a connection, informational ones too, and
// then the body. It fails if a head has what net/http accepts without a trace in its result,
// and after left bytes.
type headReader struct {
	io.Reader
	// left is the number of bytes that may still be read.
	left  int64
	lines lineChecker
}

// Read implements io.Reader.
func (h *headReader) Read(p []byte) (int, error) {
	if h.left <= 0 {
		return 0, io.EOF
	}
	// net/http may read on after an error.
	if h.lines.invalid != nil {
		return 0, h.lines.invalid
	}
	n, err := h.Reader.Read(p[:min(int64(len(p)), h.left)])
	h.left -= int64(n)
	h.lines.check(p[:n])
	if h.lines.invalid != nil {
		// Without these bytes the invalid head does not become complete.
		return 0, h.lines.invalid
	}
	return n, err
}

// What net/http accepts without a trace.
var (
	// errFolded: net/http joins the line to the field before it, whose value then is not
	// the one that the server sent.
	errFolded = fmt.Errorf("%w: a line begins with a blank", errInvalidResponse)
	// errOldChunks: net/http ignores the field, so that the body would have the sizes of the
	// chunks in it. RFC 9112 section 6.1 calls such a body faulty.
	errOldChunks = fmt.Errorf("%w: Transfer-Encoding in HTTP/1.0", errInvalidResponse)
)

const (
	// minorColumn and statusColumn are where the minor version and the status code stand in
	// the first line of a head.
	minorColumn  = len("HTTP/1.")
	statusColumn = len("HTTP/1.1 ")

	transferEncoding = "transfer-encoding:"
)

var (
	lineEnd        = []byte("\n")
	carriageReturn = []byte("\r")
)

// lineChecker checks the lines of heads. It takes their bytes as they arrive.
type lineChecker struct {
	// column is the number of bytes of the current line before its end. The first matched
	// of them are those of transferEncoding.
	column, matched int
	// inFields reports whether the current line is not the first one of its head.
	inFields bool
	// old reports whether the head is one of HTTP/1.0, informational whether another head
	// follows it.
	old, informational bool
	// ended reports whether the head of the final response has ended.
	ended bool
	// invalid is the first thing found that a head must not have.
	invalid error
}

// check checks the next bytes.
func (l *lineChecker) check(p []byte) {
	for len(p) > 0 && !l.ended && l.invalid == nil {
		part, rest, isWhole := bytes.Cut(p, lineEnd)
		if part = bytes.TrimSuffix(part, carriageReturn); l.inFields {
			l.checkField(part)
		} else {
			l.readStatusLine(part)
		}
		if isWhole {
			l.endLine()
		}
		p = rest
	}
}

// readStatusLine takes the next bytes of the first line of a head. net/http accepts several
// blanks before the status code. What does not begin like a version is no head, and net/http
// rejects it unless it is TLS.
func (l *lineChecker) readStatusLine(part []byte) {
	for _, c := range part {
		switch l.column {
		case 0:
			l.ended = c != 'H'
		case minorColumn:
			l.old = c == '0'
		case statusColumn:
			if c == ' ' {
				continue
			}
			l.informational = c == '1'
		}
		l.column++
	}
}

// checkField checks the next bytes of a line with a field.
func (l *lineChecker) checkField(part []byte) {
	if l.column == 0 && len(part) > 0 && (part[0] == ' ' || part[0] == '\t') {
		l.invalid = errFolded
	}
	if l.old && l.matchesTransferEncoding(part) {
		l.invalid = errOldChunks
	}
	l.column += len(part)
}

// matchesTransferEncoding reports whether the current line, of which part are the next
// bytes, begins with transferEncoding.
func (l *lineChecker) matchesTransferEncoding(part []byte) bool {
	if l.matched < l.column {
		return false
	}
	want := transferEncoding[l.matched:min(l.matched+len(part), len(transferEncoding))]
	if !strings.EqualFold(string(part[:len(want)]), want) {
		return false
	}
	l.matched += len(want)
	return l.matched == len(transferEncoding)
}

func (l *lineChecker) endLine() {
	isEmpty := l.column == 0
	l.column, l.matched = 0, 0
	if !l.inFields {
		l.inFields = true
	} else if isEmpty {
		l.inFields, l.ended = false, !l.informational
	}
}
