package config

import (
	"crypto/sha256"
	"crypto/subtle"
	"slices"
	"strings"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

// PublishedTemplate is a workspace template and the revision that published it.
type PublishedTemplate struct {
	model.WorkspaceTemplate
	Revision uint64
}

// Key is a key in use; its secret is not known to the system.
type Key struct {
	ID       KeyID
	Team     model.TeamID
	Revision uint64
	hash     []byte
}

// OutDomain is a failure domain that operators took out of service.
type OutDomain struct {
	FailureDomain model.FailureDomain
	Revision      uint64
}

// Snapshot is the configuration at one revision. It is immutable and safe for
// concurrent use.
type Snapshot struct {
	revision  uint64
	templates map[model.TeamID]PublishedTemplate
	keys      map[KeyID]Key
	out       map[model.FailureDomain]uint64
}

// Revision returns the revision up to which the log has been read.
func (s *Snapshot) Revision() uint64 { return s.revision }

// Template returns the template of a team.
func (s *Snapshot) Template(team model.TeamID) (model.WorkspaceTemplate, bool) {
	t, ok := s.templates[team]
	return t.WorkspaceTemplate, ok
}

// Teams returns the teams that have a template, in order of name.
func (s *Snapshot) Teams() []model.TeamID {
	teams := make([]model.TeamID, 0, len(s.templates))
	for team := range s.templates {
		teams = append(teams, team)
	}
	slices.Sort(teams)
	return teams
}

// DomainOut reports whether operators took the failure domain out of service.
func (s *Snapshot) DomainOut(domain model.FailureDomain) bool {
	_, ok := s.out[domain]
	return ok
}

// TeamOfKey returns the team whose key was presented. The time it takes does
// not depend on how much of the secret is right.
func (s *Snapshot) TeamOfKey(presented string) (model.TeamID, bool) {
	id, ok := ParseKeyID(presented)
	if !ok {
		return "", false
	}
	key, known := s.keys[id]
	want := key.hash
	if !known {
		want = make([]byte, sha256.Size)
	}
	same := subtle.ConstantTimeCompare(hashKey(presented), want) == 1
	if !known || !same {
		return "", false
	}
	return key.Team, true
}

// Templates returns all templates in order of team.
func (s *Snapshot) Templates() []PublishedTemplate {
	out := make([]PublishedTemplate, 0, len(s.templates))
	for _, t := range s.templates {
		out = append(out, t)
	}
	slices.SortFunc(out, func(a, b PublishedTemplate) int { return strings.Compare(string(a.Team), string(b.Team)) })
	return out
}

// Keys returns all keys in use in order of team and id.
func (s *Snapshot) Keys() []Key {
	out := make([]Key, 0, len(s.keys))
	for _, k := range s.keys {
		out = append(out, k)
	}
	slices.SortFunc(out, func(a, b Key) int {
		if c := strings.Compare(string(a.Team), string(b.Team)); c != 0 {
			return c
		}
		return strings.Compare(string(a.ID), string(b.ID))
	})
	return out
}

// DomainsOut returns the failure domains that are out, in order of name.
func (s *Snapshot) DomainsOut() []OutDomain {
	out := make([]OutDomain, 0, len(s.out))
	for domain, revision := range s.out {
		out = append(out, OutDomain{FailureDomain: domain, Revision: revision})
	}
	slices.SortFunc(out, func(a, b OutDomain) int {
		return strings.Compare(string(a.FailureDomain), string(b.FailureDomain))
	})
	return out
}

// ObjectRevision returns the revision that last changed an object that exists,
// or 0.
func (s *Snapshot) ObjectRevision(object ObjectID) uint64 {
	name := string(object)
	switch {
	case strings.HasPrefix(name, templatePrefix):
		return s.templates[model.TeamID(name[len(templatePrefix):])].Revision
	case strings.HasPrefix(name, keyIDPrefix):
		return s.keys[KeyID(name[len(keyIDPrefix):])].Revision
	case strings.HasPrefix(name, domainPrefix):
		return s.out[model.FailureDomain(name[len(domainPrefix):])]
	default:
		return 0
	}
}
