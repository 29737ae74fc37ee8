package relayer

import (
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/egretflow/egretflow"
	"github.com/egretflow/egretflow/reserver"
)

const (
	// unreadTime is the time without reading after which a server may have cut off a
	// response. They do so after some seconds.
	unreadTime = time.Second
	// caughtUpWait is how long a read must wait for the server to show that all it had
	// sent was read, and that its connection works.
	caughtUpWait = 10 * time.Millisecond
	// answerBytes is the room that a request claims for its response before it is sent. It
	// holds the head, the buffers and a usual response or event.
	answerBytes = 8 << 10
	// noRoomRetry is the longest time after which a caller that found no room should
	// return. Responses are held for about as long.
	noRoomRetry = 2 * time.Second
)

// noRoom returns the refusal of a request whose response this instance has no room for.
func (r *Relayer) noRoom() error {
	return &egretflow.Refusal{
		Status: http.StatusServiceUnavailable, Reason: egretflow.RefusalOverload, RunState: egretflow.RunStateNotRun,
		Message: "the instance has no room for the response", RetryAt: r.now().Add(r.jitter(noRoomRetry)), Err: reserver.ErrNoRoom,
	}
}

// backpressure measures the time in which a response of a server was not read, because
// the caller did not take what was read before. It is not safe for concurrent use.
type backpressure struct {
	// blocked is the time of the writes to the caller since a read had to wait.
	blocked time.Duration
	// total is the time of all writes to the caller.
	total time.Duration
}

// noteWrite counts a write to the caller.
func (b *backpressure) noteWrite(took time.Duration) {
	b.blocked += took
	b.total += took
}

// noteRead counts a read that returned data of the server.
func (b *backpressure) noteRead(waited time.Duration) {
	if waited >= caughtUpWait {
		b.blocked = 0
	}
}

// unread reports whether the server may have cut off the response because it was not
// read.
func (b *backpressure) unread() bool { return b.blocked >= unreadTime }

// measuredReader passes the time that its reads wait to a backpressure.
type measuredReader struct {
	io.Reader
	clock    egretflow.Clock
	pressure *backpressure
}

func (m *measuredReader) Read(p []byte) (int, error) {
	startedAt := m.clock()
	n, err := m.Reader.Read(p)
	if n > 0 {
		m.pressure.noteRead(m.clock().Sub(startedAt))
	}
	return n, err //nolint:wrapcheck // io.Reader
}

// markUnread marks a *failure of a server whose response was not read for some time.
func (b *backpressure) markUnread(err error) error {
	var f *failure
	if errors.As(err, &f) {
		f.unread = b.unread()
	}
	return err
}
