// Package platformapi defines the HTTP and JSON protocol between balsamhitch and
// the platform's stand-ins (simulated platform services and VMs for tests and the
// demonstration). Real platforms have their own adapters and protocols;
// only the adapters and the stand-ins import this package.
package platformapi

import (
	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/port"
)

// HTTP headers of the protocol.
const (
	// HeaderNotStarted in an error response proves that the call had no effect.
	HeaderNotStarted = "Balsam-Not-Started"
	HeaderRequestID  = "Balsam-Request"
	HeaderAttempt    = "Balsam-Attempt"
	HeaderTeam       = "Balsam-Team"
	HeaderService    = "Balsam-Service"
)

// URL paths of the protocol.
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

// AppendReply returns the offset of the first appended record.
type AppendReply struct {
	First uint64 `json:"first"`
}

// Record is one entry of a stream.
type Record struct {
	Offset uint64 `json:"offset"`
	Data   []byte `json:"data"`
}

// ReadReply is the response to a read. For an offset that is no longer retained it
// is sent without records and with status 410 Gone.
type ReadReply struct {
	Records  []Record `json:"records,omitempty"`
	Earliest uint64   `json:"earliest"`
	Next     uint64   `json:"next"`
}

// VMsReply returns the VM list.
type VMsReply struct {
	VMs []model.VM `json:"vms"`
}

// ActRequest asks a worker to execute an action on a running attempt.
type ActRequest struct {
	Attempt port.TaskAttempt `json:"attempt"`
	Epoch   model.Epoch      `json:"epoch"`
	Action  port.TaskAction  `json:"action"`
}

// ErrorReply is the body of an error response.
type ErrorReply struct {
	Error string `json:"error"`
}
