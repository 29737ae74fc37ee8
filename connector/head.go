package connector

import (
	"fmt"
	"io"
)

// headReader reads the heads of the responses on a connection, informational ones too. It
// fails if a line of them begins with a blank: net/http joins it to the field before it,
// whose value then is not the one that the server sent.
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
	if h.lines.folded {
		// net/http reads on after an error.
		return 0, errFolded
	}
	n, err := h.Reader.Read(p[:min(int64(len(p)), h.left)])
	h.left -= int64(n)
	h.lines.check(p[:n])
	if h.lines.folded {
		// No head that has the line becomes complete.
		return 0, errFolded
	}
	return n, err
}

var errFolded = fmt.Errorf("%w: a line begins with a blank", errInvalidResponse)

// statusColumn is where the status code begins in the first line of a head, behind the
// version.
const statusColumn = len("HTTP/1.1 ")

// lineChecker checks the beginnings of the lines of heads. It takes their bytes as they
// arrive.
type lineChecker struct {
	// column is the number of bytes of the current line before its end.
	column int
	// inFields reports whether the current line is not the first one of its head.
	inFields bool
	// informational reports whether another head follows the current one.
	informational bool
	// folded reports whether a line begins with a blank.
	folded bool
	// ended reports whether the head of the final response has ended.
	ended bool
}

// check checks the next bytes.
func (l *lineChecker) check(p []byte) {
	for _, c := range p {
		switch {
		case l.ended:
			return
		case c == '\n':
			l.endLine()
		case c == '\r', c == ' ' && !l.inFields && l.column == statusColumn:
			// net/http accepts several blanks before the status code.
		case l.inFields && l.column == 0 && (c == ' ' || c == '\t'):
			l.folded = true
			return
		default:
			if !l.inFields && l.column == statusColumn {
				l.informational = c == '1'
			}
			l.column++
		}
	}
}

func (l *lineChecker) endLine() {
	isEmpty := l.column == 0
	l.column = 0
	if !l.inFields {
		l.inFields = true
	} else if isEmpty {
		l.inFields, l.ended = false, !l.informational
	}
}
