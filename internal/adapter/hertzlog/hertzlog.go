// Package hertzlog limits what hertz itself logs.
package hertzlog

import (
	"sync"

	"github.com/cloudwego/hertz/pkg/common/hlog"
)

// OnlyErrors makes hertz log errors only. It must be called before a server runs and
// has an effect once per process, since hertz reads the level without a lock.
var OnlyErrors = sync.OnceFunc(func() { hlog.SetLevel(hlog.LevelError) })
