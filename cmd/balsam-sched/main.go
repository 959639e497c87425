// Command balsam-sched owns partitions of a cell: teams, racks of workers and groups
// of runners (target groups).
package main

import (
	"github.com/balsamhitch/balsamhitch/internal/adapter/settings"
	"github.com/balsamhitch/balsamhitch/internal/app/program"
	"github.com/balsamhitch/balsamhitch/internal/app/schedmain"
)

func main() {
	program.Main("balsam-sched",
		"Owns partitions of a balsamhitch cell: teams, racks of workers and groups of runners (target groups).",
		settings.LoadSched, schedmain.Run)
}
