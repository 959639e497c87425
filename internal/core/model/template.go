package model

// WorkKind is the kind of work that a team submits.
type WorkKind string

// The kinds of work.
const (
	WorkQuick   WorkKind = "quick"   // short requests to runners
	WorkBatch   WorkKind = "batch"   // tasks that may be queued and checkpointed
	WorkGang    WorkKind = "gang"    // tasks that are placed all together or not at all
	WorkService WorkKind = "service" // tasks that run until cancelled
)

// WorkspaceTemplate configures a team's workspace; operators publish it.
type WorkspaceTemplate struct {
	Team        TeamID
	Kinds       []WorkKind
	ShareWeight float64   // weight of the team while the fleet is full
	UpperLimit  Resources // across the fleet; a zero dimension allows nothing
	Services    []ServiceID
	Open        bool // accepts work without an API key
	Urgent      bool // its work precedes other work of equal share
	MaxQueued   int  // maximum number of queued requests and tasks
}

// Allows reports whether the template admits the kind of work.
func (t WorkspaceTemplate) Allows(kind WorkKind) bool {
	for _, k := range t.Kinds {
		if k == kind {
			return true
		}
	}
	return false
}

// Serves reports whether the team may send requests to the service.
func (t WorkspaceTemplate) Serves(service ServiceID) bool {
	for _, s := range t.Services {
		if s == service {
			return true
		}
	}
	return false
}
