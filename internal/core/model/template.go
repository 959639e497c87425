package model

// WorkKind is the kind of work that a team hands in.
type WorkKind string

// The kinds of work.
const (
	WorkQuick   WorkKind = "quick"   // short requests to runners
	WorkBatch   WorkKind = "batch"   // tasks that may wait and be checkpointed
	WorkGang    WorkKind = "gang"    // tasks that start all or not at all
	WorkService WorkKind = "service" // tasks that run until cancelled
)

// WorkspaceTemplate is a team's declaration, published by operators.
type WorkspaceTemplate struct {
	Team       TeamID
	Kinds      []WorkKind
	Share      float64   // weight when everything is full
	UpperLimit Resources // across the fleet; a zero dimension grants none
	Services   []ServiceID
	Open       bool // takes work without a key
	Urgent     bool // its work goes before other work of equal share
	MaxQueued  int  // requests and tasks that may wait
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
