package worker

import (
	"encoding/json"
	"time"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/port"
)

// untilStopped is the run time of a task that ends only when stopped.
const untilStopped = time.Duration(-1)

// Payload is what a task's payload may tell the stand-in. Payloads that are
// not JSON are ignored.
type Payload struct {
	Call   string `json:"id,omitempty"`     // the caller's name of the job, for the history
	RunMS  *int64 `json:"run_ms,omitempty"` // true run time; negative runs until stopped
	Fail   bool   `json:"fail,omitempty"`
	UseCPU int64  `json:"use_cpu,omitempty"` // true use, in thousandths of a processor
	UseMem int64  `json:"use_mem,omitempty"` // true use, in MiB
}

func parsePayload(data []byte) Payload {
	var p Payload
	if json.Unmarshal(data, &p) != nil {
		return Payload{}
	}
	return p
}

// runTime returns how long the task runs: as the payload tells, else as
// declared; a task that declares nothing runs until it is stopped.
func (p Payload) runTime(declared time.Duration) time.Duration {
	if p.RunMS != nil {
		if *p.RunMS < 0 {
			return untilStopped
		}
		return time.Duration(*p.RunMS) * time.Millisecond
	}
	if declared <= 0 {
		return untilStopped
	}
	return declared
}

func (p Payload) use(start port.StartTask) model.Resources {
	use := start.Size
	if p.UseCPU > 0 {
		use.MilliCPU = p.UseCPU
	}
	if p.UseMem > 0 {
		use.MemoryMiB = p.UseMem
	}
	return use
}
