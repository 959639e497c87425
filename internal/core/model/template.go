package model

// WorkKind is the kind of work that a team submits.
type WorkKind string

// The kinds of work.
const (
	WorkQuick   WorkKind = "quick"   // short requests to runners
	WorkBatch   WorkKind = "batch"   // tasks that may be queued and checkpointed
	WorkGang    WorkKind = "gang"    // tasks that are placed all together or not at all
	WorkService WorkKind = "service" // long-running tasks, which run until cancelled; unrelated to ServiceID
)

// WorkspaceTemplate configures a team's workspace; operators publish it.
type WorkspaceTemplate struct {
	Team        TeamID
	Kinds       []WorkKind
	ShareWeight float64   // relative weight of the team while capacity is scarce
	UpperLimit  Resources // on all VMs together; a zero dimension allows nothing, unlike in dispatch.Team
	Services    []ServiceID
	Open        bool // accepts work without an API key
	Urgent      bool // its work is started first among teams with an equal Permit.Ratio
	MaxQueued   int  // maximum number of waiting quick requests, and separately of waiting tasks; zero for no limit
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
