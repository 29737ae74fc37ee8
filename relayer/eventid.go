package relayer

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/egretflow/egretflow"
)

// EventID is the id of an SSE event that a caller receives. It contains everything
// that any instance needs to resume the answer (4.6).
type EventID struct {
	Request egretflow.RequestID
	Attempt egretflow.AttemptID
	Server  egretflow.ServerName
	// Base is the number of tokens that earlier attempts generated.
	Base int
	// Offset is the number of tokens of this attempt up to and including the event.
	Offset int
}

// escapeDots replaces dots in names, because dots separate the parts of an event
// id. unescapeDots reverses it.
var (
	escapeDots   = strings.NewReplacer(".", "~")
	unescapeDots = strings.NewReplacer("~", ".")
)

// Prefix returns the part of the text form that is the same for all events of an
// attempt. AppendOffset appends the rest.
func (e EventID) Prefix() string {
	return escapeDots.Replace(string(e.Request)) + "." + escapeDots.Replace(string(e.Attempt)) + "." +
		escapeDots.Replace(string(e.Server)) + "."
}

// AppendOffset appends the last part of the text form, which is "Base+Offset", to
// dst.
func (e EventID) AppendOffset(dst []byte) []byte {
	dst = strconv.AppendInt(dst, int64(e.Base), 10)
	dst = append(dst, '+')
	return strconv.AppendInt(dst, int64(e.Offset), 10)
}

// String returns the text form, "Request.Attempt.Server.Base+Offset", in which
// dots of names are replaced by "~".
func (e EventID) String() string { return string(e.AppendOffset([]byte(e.Prefix()))) }

// ParseEventID parses the text form of an EventID, the Last-Event-ID of a caller.
// Errors are of type *egretflow.FieldError.
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
