package connector

import (
	"context"
	"net"
	"strings"
	"syscall"
	"time"
)

// A connection whose peer has vanished fails after keepAliveIdle plus
// keepAliveCount times keepAliveInterval.
const (
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
)

// NewDialer returns a dialer that sets TCP keep-alive, so that a connection fails
// if the remote host vanishes without closing it. bufferBytes bounds what the kernel holds
// of a response that is not read; 0 leaves it to the kernel.
func NewDialer(bufferBytes int) *net.Dialer {
	return &net.Dialer{
		Timeout: dialTimeout,
		ControlContext: func(_ context.Context, network, _ string, raw syscall.RawConn) error {
			if bufferBytes > 0 && strings.HasPrefix(network, "tcp") {
				limitReceiveBuffer(raw, bufferBytes)
			}
			return nil
		},
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
	}
}

// limitReceiveBuffer sets the receive buffer before the connection is made, so that its
// window is never larger.
func limitReceiveBuffer(raw syscall.RawConn, bytes int) {
	// If that fails, the connection keeps the size of the kernel.
	_ = raw.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, bytes)
	})
}
