// Package peer carries calls between balsamhitch processes: protobuf frames,
// each preceded by its length, on a few long-lived yamux streams per pair of
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
	// protocolVersion is the version of the frames that this build speaks.
	protocolVersion = 1
	// defaultMaxFrame holds a request body of 4 MiB and the fields around it.
	defaultMaxFrame = 4<<20 + 64<<10 // bytes
	// defaultStreams lets a large frame delay only a part of the small ones.
	defaultStreams     = 4
	defaultHandlers    = 8192
	defaultDialTimeout = time.Second
	// defaultHandlerTimeout bounds calls whose sender states no deadline.
	defaultHandlerTimeout = 30 * time.Second
	keepAliveInterval     = time.Second
	writeTimeout          = 2 * time.Second
	bufferSize            = 16 << 10
)

// Options are the settings of a Client or Server. The zero value of each field
// stands for its default.
type Options struct {
	MaxFrame           int           // bytes; larger frames are refused
	Streams            int           // client: streams per address
	MaxConcurrentCalls int           // server: calls served at once
	DialTimeout        time.Duration // client
	// Dial replaces the plain TCP dialer, for example by one with TLS.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Metrics receives the counters; nil stands for the process's default set.
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
		o.MaxConcurrentCalls = defaultHandlers
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
	config.LogOutput = io.Discard // session errors reach the log through the streams
	config.KeepAliveInterval = keepAliveInterval
	config.ConnectionWriteTimeout = writeTimeout
	return config
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	var dialer net.Dialer
	return dialer.DialContext(ctx, "tcp", address)
}
