package entry

import (
	"net/http"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/core/request"
)

const staleRetryAfter = time.Second

// authorize returns the template of the workspace if the caller may use it.
// Without a fresh configuration nobody may: a withdrawn key must stop working.
func (s *Server) authorize(c *app.RequestContext, team model.TeamID) (model.WorkspaceTemplate, *problem) {
	keys := s.options.ConfigSnapshot()
	template, p := authorizeBy(keys, c, team)
	// Freshness is checked last: the process may have been stopped in between.
	if !keys.Fresh() {
		stale := newProblem(request.Unavailable, "the configuration may be out of date, so no key can be checked")
		stale.retryAfter = staleRetryAfter
		return model.WorkspaceTemplate{}, &stale
	}
	return template, p
}

// authorizeBy decides by one state of the configuration, whatever its age.
func authorizeBy(keys ConfigSnapshot, c *app.RequestContext, team model.TeamID) (model.WorkspaceTemplate, *problem) {
	template, known := keys.Template(team)
	if known && template.Open {
		return template, nil
	}
	presented, ok := bearer(c)
	if !ok {
		p := keyProblem(http.StatusUnauthorized, "key-missing", "the workspace needs a key: Authorization: Bearer <key>")
		return template, &p
	}
	owner, ok := keys.TeamOfKey(presented)
	if !ok {
		p := keyProblem(http.StatusUnauthorized, "key-invalid", "the key is unknown or withdrawn")
		return template, &p
	}
	if owner != team {
		p := keyProblem(http.StatusForbidden, "key-of-other-team", "the key belongs to another team")
		return template, &p
	}
	if !known {
		p := newProblem(request.NotFound, "no such workspace")
		return template, &p
	}
	return template, nil
}

func bearer(c *app.RequestContext) (string, bool) {
	scheme, key, ok := strings.Cut(string(c.GetHeader("Authorization")), " ")
	key = strings.TrimSpace(key)
	return key, ok && strings.EqualFold(scheme, "Bearer") && key != ""
}
