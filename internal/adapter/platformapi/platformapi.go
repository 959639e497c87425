// Package platformapi is the HTTP + JSON protocol between balsamhitch and the
// platform's stand-ins. The users' own platforms get adapters of their own;
// nothing outside the adapters and the stand-ins imports this package.
package platformapi

import (
	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/port"
)

// Headers of the protocol.
const (
	// HeaderNotStarted on an error answer proves that the call had no effect.
	HeaderNotStarted = "Balsam-Not-Started"
	HeaderRequestID  = "Balsam-Request"
	HeaderAttempt    = "Balsam-Attempt"
	HeaderTeam       = "Balsam-Team"
	HeaderService    = "Balsam-Service"
)

// Paths of the protocol.
const (
	PathRecords   = "/streams/:stream/records"
	PathVMs       = "/vms"
	PathHeartbeat = "/heartbeat"
	PathStart     = "/tasks/start"
	PathAct       = "/tasks/act"
	PathRequest   = "/requests"
)

// AppendRequest asks the log service to append records in order.
type AppendRequest struct {
	Records [][]byte `json:"records"`
}

// AppendReply tells the offset of the first appended record.
type AppendReply struct {
	First uint64 `json:"first"`
}

// Record is one entry of a stream.
type Record struct {
	Offset uint64 `json:"offset"`
	Data   []byte `json:"data"`
}

// ReadReply is the answer to a read. It is also sent, without records, with
// the status 410 Gone for an offset that is no longer kept.
type ReadReply struct {
	Records  []Record `json:"records,omitempty"`
	Earliest uint64   `json:"earliest"`
	Next     uint64   `json:"next"`
}

// VMsReply is the VM list.
type VMsReply struct {
	VMs []model.VM `json:"vms"`
}

// ActRequest asks a worker to act on a running attempt.
type ActRequest struct {
	Attempt port.TaskAttempt `json:"attempt"`
	Epoch   model.Epoch      `json:"epoch"`
	Action  port.TaskAction  `json:"action"`
}

// ErrorReply says why a call failed.
type ErrorReply struct {
	Error string `json:"error"`
}
