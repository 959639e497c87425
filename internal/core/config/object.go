package config

import (
	"strings"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

// ObjectID identifies the object that a record changes: "template/<team>", "key/<key id>" or
// "domain/<failure domain>".
type ObjectID string

const (
	templatePrefix = "template/"
	keyIDPrefix    = "key/"
	domainPrefix   = "domain/"
)

// TemplateObject returns the id of a team's template.
func TemplateObject(team model.TeamID) ObjectID { return templatePrefix + ObjectID(team) }

// KeyObject returns the id of a key.
func KeyObject(id KeyID) ObjectID { return keyIDPrefix + ObjectID(id) }

// DomainObject returns the id of the service state of a failure domain.
func DomainObject(domain model.FailureDomain) ObjectID { return domainPrefix + ObjectID(domain) }

func (o ObjectID) valid() bool {
	_, name, _ := strings.Cut(string(o), "/")
	return name != "" && len(name) <= maxNameLength
}

// maxNameLength is the maximum length of the names of teams, keys and failure
// domains in bytes.
const maxNameLength = 128
