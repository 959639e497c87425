// Command balsam-entry serves callers' requests over HTTP.
package main

import (
	"github.com/balsamhitch/balsamhitch/internal/adapter/settings"
	"github.com/balsamhitch/balsamhitch/internal/app/entrymain"
	"github.com/balsamhitch/balsamhitch/internal/app/program"
)

func main() {
	program.Main("balsam-entry",
		"Serves callers' requests over HTTP and keeps each connection open until the answer.",
		settings.LoadEntry, entrymain.Run)
}
