package relayer

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/egretflow/egretflow"
)

// EventID is the id of an SSE event towards a caller. It names everything that
// any instance needs to resume the answer (4.6).
type EventID struct {
	Request egretflow.RequestID
	Attempt egretflow.AttemptID
	Server  egretflow.ServerName
	// Base counts the tokens of earlier attempts, Offset those of this one.
	Base   int
	Offset int
}

// Names may contain dots, which separate the parts of an event id.
var (
	escapeDots   = strings.NewReplacer(".", "~")
	unescapeDots = strings.NewReplacer("~", ".")
)

// Prefix returns the part of the text form that is the same for a whole attempt.
func (e EventID) Prefix() string {
	return escapeDots.Replace(string(e.Request)) + "." + escapeDots.Replace(string(e.Attempt)) + "." +
		escapeDots.Replace(string(e.Server)) + "."
}

// AppendOffset appends the rest of the text form, which is base+offset.
func (e EventID) AppendOffset(dst []byte) []byte {
	dst = strconv.AppendInt(dst, int64(e.Base), 10)
	dst = append(dst, '+')
	return strconv.AppendInt(dst, int64(e.Offset), 10)
}

// String returns the text form.
func (e EventID) String() string { return string(e.AppendOffset([]byte(e.Prefix()))) }

// ParseEventID reads the text form.
func ParseEventID(s string) (EventID, error) {
	parts := strings.Split(s, ".")
	if len(parts) != 4 {
		return EventID{}, &egretflow.FieldError{Field: "Last-Event-ID", Reason: "must have 4 parts"}
	}
	base, offset, ok := strings.Cut(parts[3], "+")
	if !ok {
		return EventID{}, &egretflow.FieldError{Field: "Last-Event-ID", Reason: "the last part must be base+offset"}
	}
	e := EventID{
		Request: egretflow.RequestID(unescapeDots.Replace(parts[0])),
		Attempt: egretflow.AttemptID(unescapeDots.Replace(parts[1])),
		Server:  egretflow.ServerName(unescapeDots.Replace(parts[2])),
	}
	for text, dst := range map[string]*int{base: &e.Base, offset: &e.Offset} {
		n, err := strconv.ParseUint(text, 10, 31)
		if err != nil {
			return EventID{}, &egretflow.FieldError{Field: "Last-Event-ID", Reason: fmt.Sprintf("%q is not an offset", text)}
		}
		*dst = int(n)
	}
	return e, nil
}
