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

// Key is an API key that is in force. Only the hash of the key is stored.
type Key struct {
	ID       KeyID
	Team     model.TeamID
	Revision uint64
	hash     []byte
}

// DomainOutOfService is a failure domain that operators took out of service.
type DomainOutOfService struct {
	FailureDomain model.FailureDomain
	Revision      uint64
}

// Snapshot is the configuration at one revision. It is immutable and safe for
// concurrent use.
type Snapshot struct {
	revision   uint64
	templates  map[model.TeamID]PublishedTemplate
	keys       map[KeyID]Key
	domainsOut map[model.FailureDomain]uint64
}

// Revision returns the revision of the last record that the snapshot includes.
func (s *Snapshot) Revision() uint64 { return s.revision }

// Template returns the template of a team.
func (s *Snapshot) Template(team model.TeamID) (model.WorkspaceTemplate, bool) {
	t, ok := s.templates[team]
	return t.WorkspaceTemplate, ok
}

// Teams returns the teams that have a template, sorted by name.
func (s *Snapshot) Teams() []model.TeamID {
	teams := make([]model.TeamID, 0, len(s.templates))
	for team := range s.templates {
		teams = append(teams, team)
	}
	slices.Sort(teams)
	return teams
}

// IsDomainOut reports whether operators took the failure domain out of service.
func (s *Snapshot) IsDomainOut(domain model.FailureDomain) bool {
	_, ok := s.domainsOut[domain]
	return ok
}

// TeamOfKey returns the team of the presented key, or false if the key is not in
// force. The time it takes does not depend on how much of the secret matches.
func (s *Snapshot) TeamOfKey(presented string) (model.TeamID, bool) {
	id, ok := ParseKeyID(presented)
	if !ok {
		return "", false
	}
	key, found := s.keys[id]
	want := key.hash
	if !found {
		want = make([]byte, sha256.Size)
	}
	same := subtle.ConstantTimeCompare(hashKey(presented), want) == 1
	if !found || !same {
		return "", false
	}
	return key.Team, true
}

// Templates returns all templates sorted by team.
func (s *Snapshot) Templates() []PublishedTemplate {
	out := make([]PublishedTemplate, 0, len(s.templates))
	for _, t := range s.templates {
		out = append(out, t)
	}
	slices.SortFunc(out, func(a, b PublishedTemplate) int { return strings.Compare(string(a.Team), string(b.Team)) })
	return out
}

// Keys returns all keys that are in force, sorted by team and id.
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

// DomainsOut returns the failure domains that are out of service, sorted by name.
func (s *Snapshot) DomainsOut() []DomainOutOfService {
	domainsOut := make([]DomainOutOfService, 0, len(s.domainsOut))
	for domain, revision := range s.domainsOut {
		domainsOut = append(domainsOut, DomainOutOfService{FailureDomain: domain, Revision: revision})
	}
	slices.SortFunc(domainsOut, func(a, b DomainOutOfService) int {
		return strings.Compare(string(a.FailureDomain), string(b.FailureDomain))
	})
	return domainsOut
}

// ObjectRevision returns the revision that last changed the object, or 0 if the
// object does not exist.
func (s *Snapshot) ObjectRevision(object ObjectID) uint64 {
	name := string(object)
	switch {
	case strings.HasPrefix(name, templateObjectPrefix):
		return s.templates[model.TeamID(name[len(templateObjectPrefix):])].Revision
	case strings.HasPrefix(name, keyObjectPrefix):
		return s.keys[KeyID(name[len(keyObjectPrefix):])].Revision
	case strings.HasPrefix(name, domainObjectPrefix):
		return s.domainsOut[model.FailureDomain(name[len(domainObjectPrefix):])]
	default:
		return 0
	}
}
