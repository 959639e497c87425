package worker

import (
	"encoding/json"
	"time"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/port"
)

// untilStopped is the run time of a task that ends only when it is stopped.
const untilStopped = time.Duration(-1)

// Payload is the optional JSON payload of a task, which controls the stand-in.
// A payload that is not JSON is ignored.
type Payload struct {
	Call   string `json:"id,omitempty"`     // identifies the job to its caller; recorded in the history
	RunMS  *int64 `json:"run_ms,omitempty"` // actual run time; a task with a negative value runs until it is stopped
	Fail   bool   `json:"fail,omitempty"`
	UseCPU int64  `json:"use_cpu,omitempty"` // actual use in thousandths of a processor
	UseMem int64  `json:"use_mem,omitempty"` // actual use in MiB
}

func parsePayload(data []byte) Payload {
	var p Payload
	if json.Unmarshal(data, &p) != nil {
		return Payload{}
	}
	return p
}

// runTime returns the run time that the payload sets, or else the declared one.
// Without either, the task runs until it is stopped.
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
