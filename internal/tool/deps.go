//go:build tools

// Package tool keeps the declared libraries in go.mod until all are used.
package tool

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/VictoriaMetrics/metrics"
	_ "github.com/alecthomas/kong"
	_ "github.com/cenkalti/backoff/v5"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/cloudwego/hertz/pkg/app/client"
	_ "github.com/cloudwego/hertz/pkg/app/server"
	_ "github.com/cloudwego/hertz/pkg/common/adaptor"
	_ "github.com/hashicorp/yamux"
	_ "github.com/oklog/ulid/v2"
	_ "github.com/panjf2000/ants/v2"
	_ "github.com/pelletier/go-toml/v2"
	_ "github.com/sirupsen/logrus"
	_ "github.com/stretchr/testify/assert"
	_ "github.com/stretchr/testify/require"
	_ "github.com/zeebo/errs"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/sync/singleflight"
	_ "golang.org/x/sys/unix"
	_ "golang.org/x/time/rate"
	_ "pgregory.net/rapid"
)
