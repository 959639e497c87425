// Command balsam-sched owns partitions of a cell: team queues, racks and target
// groups.
package main

import (
	"github.com/balsamhitch/balsamhitch/internal/adapter/settings"
	"github.com/balsamhitch/balsamhitch/internal/app/program"
	"github.com/balsamhitch/balsamhitch/internal/app/schedmain"
)

func main() {
	program.Main("balsam-sched",
		"Owns partitions of a balsamhitch cell: team queues, racks and target groups.",
		settings.LoadSched, schedmain.Run)
}
