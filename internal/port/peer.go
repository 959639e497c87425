package port

import (
	"context"

	"github.com/balsamhitch/balsamhitch/internal/pb/peerpb"
)

// Peer calls other balsamhitch processes.
type Peer interface {
	// Call sends the request to the process at address and returns its
	// answer. An error of class NotStarted proves that the request was not sent;
	// after any other error the outcome is unknown.
	Call(ctx context.Context, address string, request *peerpb.Request) (*peerpb.Response, error)
}

// PeerHandler serves calls of other balsamhitch processes. It must not retain
// the request and must return before the context's deadline.
type PeerHandler interface {
	Serve(ctx context.Context, request *peerpb.Request) *peerpb.Response
}
