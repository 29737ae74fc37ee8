package connector

import (
	"net"
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
// if the remote host vanishes without closing it.
func NewDialer() *net.Dialer {
	return &net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
	}
}
