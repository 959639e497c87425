// Command balsam-entry takes callers' requests over HTTP.
package main

import (
	"github.com/balsamhitch/balsamhitch/internal/adapter/settings"
	"github.com/balsamhitch/balsamhitch/internal/app/entrymain"
	"github.com/balsamhitch/balsamhitch/internal/app/program"
)

func main() {
	program.Main("balsam-entry",
		"Takes callers' requests over HTTP and holds their connections until the answer.",
		settings.LoadEntry, entrymain.Run)
}
