// Package peer implements calls between balsamhitch processes. Calls are
// length-prefixed protobuf frames on a few long-lived yamux streams per pair of
// processes.
package peer

import (
	"context"
	"io"
	"net"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/hashicorp/yamux"
	"github.com/sirupsen/logrus"
	"github.com/zeebo/errs"
)

// Error is the class of errors of the peer transport.
var Error = errs.Class("peer")

const (
	// protocolVersion is the only frame version that this build accepts.
	protocolVersion = 1
	// defaultMaxFrame fits a request body of 4 MiB and the fields around it.
	defaultMaxFrame = 4<<20 + 64<<10 // bytes
	// With several streams a large frame delays only the calls on its own stream.
	defaultStreams            = 4
	defaultMaxConcurrentCalls = 8192
	defaultDialTimeout        = time.Second
	// defaultHandlerTimeout bounds calls whose caller sends no deadline.
	defaultHandlerTimeout = 30 * time.Second
	keepAliveInterval     = time.Second
	writeTimeout          = 2 * time.Second
	bufferSize            = 16 << 10
)

// Options configure a Client or Server. A zero field selects the default.
type Options struct {
	MaxFrame           int           // bytes; larger frames are rejected
	Streams            int           // client: streams per address
	MaxConcurrentCalls int           // server: further calls are rejected as not started
	DialTimeout        time.Duration // client
	Limits             Limits        // server
	// Dial replaces the plain TCP dialer, for example with a TLS dialer.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Metrics receives the counters; nil selects the process's default set.
	Metrics *metrics.Set
	Logger  logrus.FieldLogger
}

func (o Options) withDefaults() Options {
	if o.MaxFrame <= 0 {
		o.MaxFrame = defaultMaxFrame
	}
	if o.Streams <= 0 {
		o.Streams = defaultStreams
	}
	if o.MaxConcurrentCalls <= 0 {
		o.MaxConcurrentCalls = defaultMaxConcurrentCalls
	}
	if o.DialTimeout <= 0 {
		o.DialTimeout = defaultDialTimeout
	}
	if o.Dial == nil {
		o.Dial = dialTCP
	}
	if o.Metrics == nil {
		o.Metrics = metrics.GetDefaultSet()
	}
	if o.Logger == nil {
		o.Logger = logrus.StandardLogger()
	}
	o.Logger = o.Logger.WithField("part", "peer")
	return o
}

func yamuxConfig() *yamux.Config {
	config := yamux.DefaultConfig()
	config.LogOutput = io.Discard  // session errors surface as stream errors
	config.EnableKeepAlive = false // keepAlive closes the connection first
	config.ConnectionWriteTimeout = writeTimeout
	return config
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	var dialer net.Dialer
	return dialer.DialContext(ctx, "tcp", address)
}
