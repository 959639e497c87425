package config

import (
	"strings"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

// ObjectID identifies the object that a record changes: "template/<team>", "key/<key id>" or
// "domain/<failure domain>".
type ObjectID string

const (
	templateObjectPrefix = "template/"
	keyObjectPrefix      = "key/"
	domainObjectPrefix   = "domain/"
)

// TemplateObject returns the id of a team's template.
func TemplateObject(team model.TeamID) ObjectID { return templateObjectPrefix + ObjectID(team) }

// KeyObject returns the id of a key.
func KeyObject(id KeyID) ObjectID { return keyObjectPrefix + ObjectID(id) }

// DomainObject returns the id of the object that records whether a failure domain
// is out of service.
func DomainObject(domain model.FailureDomain) ObjectID { return domainObjectPrefix + ObjectID(domain) }

func (o ObjectID) valid() bool {
	_, name, _ := strings.Cut(string(o), "/")
	return name != "" && len(name) <= maxNameLength
}

// maxNameLength is the maximum length of the names of teams, keys and failure
// domains in bytes.
const maxNameLength = 128
