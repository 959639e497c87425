package entry

import (
	"time"
	"unicode"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/balsamhitch/balsamhitch/internal/core/findings"
	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

const (
	maxKeyLength = 200 // bytes of an Idempotency-Key
	maxDeadline  = 5 * time.Minute
)

// The places of findings.
const (
	inHeader = "header"
	inBody   = "body"
	inPath   = "path"
)

// commonHeaders holds the parsed headers that requests and jobs share.
type commonHeaders struct {
	key           string
	nonIdempotent bool
	deadline      time.Duration
}

func (s *Server) parseCommonHeaders(c *app.RequestContext, found *findings.List) commonHeaders {
	return commonHeaders{
		key:           parseKey(c, found),
		nonIdempotent: parseBool(c, headerNonIdempotent, found),
		deadline:      parseDeadline(c, s.options.Settings.Timeouts.Deadline, found),
	}
}

func parseKey(c *app.RequestContext, found *findings.List) string {
	key := string(c.GetHeader(headerKey))
	if len(key) > maxKeyLength {
		found.Add(inHeader, 0, headerKey, "longer than %d bytes", maxKeyLength)
	}
	for _, r := range key {
		if !unicode.IsPrint(r) || r == unicode.ReplacementChar {
			found.Add(inHeader, 0, headerKey, "holds a character that can't be printed")
			break
		}
	}
	return key
}

func parseBool(c *app.RequestContext, name string, found *findings.List) bool {
	switch value := string(c.GetHeader(name)); value {
	case "", "false":
		return false
	case "true":
		return true
	default:
		found.Add(inHeader, 0, name, "%q is neither true nor false", value)
		return false
	}
}

func parseDeadline(c *app.RequestContext, fallback time.Duration, found *findings.List) time.Duration {
	value := string(c.GetHeader(headerDeadline))
	if value == "" {
		return fallback
	}
	deadline, err := time.ParseDuration(value)
	switch {
	case err != nil:
		found.Add(inHeader, 0, headerDeadline, "%q is not a duration such as 2s or 150ms", value)
	case deadline <= 0 || deadline > maxDeadline:
		found.Add(inHeader, 0, headerDeadline, "%q is not between 0 and %s", value, maxDeadline)
	}
	return deadline
}

// parseService returns the service that the request names or, if it names none,
// the template's only one.
func parseService(c *app.RequestContext, template model.WorkspaceTemplate, found *findings.List) model.ServiceID {
	service := model.ServiceID(c.GetHeader(headerService))
	switch {
	case service == "" && len(template.Services) == 1:
		return template.Services[0]
	case service == "":
		found.Add(inHeader, 0, headerService, "missing; the workspace has %d services", len(template.Services))
	case !template.Serves(service):
		found.Add(inHeader, 0, headerService, "the workspace does not use a service %q", service)
	}
	return service
}
