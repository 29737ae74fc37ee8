package reserver

import "math"

// Shares of the memory of an instance. The rest is for what it keeps of the fleet, and for
// what the garbage collector has yet to free.
const (
	bodyShare       = 0.2
	responseShare   = 0.15
	connectionShare = 0.4
	// connectionBytes is what a caller's connection with an open stream takes, with the
	// connection to the server.
	connectionBytes = 44 << 10
	// socketBufferBytes bounds each buffer that the kernel holds for a connection. It
	// is enough for 10 Mbit/s over 50 ms.
	socketBufferBytes = 64 << 10
)

// Budget divides the memory of an instance among what it holds for callers and servers.
type Budget struct {
	// BodyBytes bounds the bodies of all open requests.
	BodyBytes int64
	// Responses bounds what servers and the platform send. A quarter is kept for small
	// responses.
	Responses *Reserver
	// Connections bounds the open connections of callers.
	Connections int
	// SocketBufferBytes is the size of each buffer of a connection in the kernel; 0
	// leaves it to the kernel.
	SocketBufferBytes int
}

// NewBudget returns the Budget of an instance with the given memory.
func NewBudget(bytes int64) Budget {
	share := func(part float64) int64 { return int64(part * float64(bytes)) }
	return Budget{
		BodyBytes: share(bodyShare), Responses: New(share(responseShare), share(responseShare)/4),
		Connections:       int(max(1, min(math.MaxInt32, share(connectionShare)/connectionBytes))),
		SocketBufferBytes: socketBufferBytes,
	}
}
