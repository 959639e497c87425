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

// authorize returns the workspace's template if the caller may use it, and
// otherwise a problem to answer with. It rejects every request while the
// configuration is not fresh, since the key may have been withdrawn in the
// meantime.
func (s *Server) authorize(c *app.RequestContext, team model.TeamID) (model.WorkspaceTemplate, *problem) {
	config := s.options.ConfigSnapshot()
	template, p := authorizeWith(config, c, team)
	// Checked last, since the process may have been suspended during the look-up.
	if !config.Fresh() {
		stale := newProblem(request.Unavailable, "the configuration may be out of date, so no key can be checked")
		stale.retryAfter = staleRetryAfter
		return model.WorkspaceTemplate{}, &stale
	}
	return template, p
}

// authorizeWith checks the caller against one configuration snapshot, whatever
// its age.
func authorizeWith(config ConfigSnapshot, c *app.RequestContext, team model.TeamID) (model.WorkspaceTemplate, *problem) {
	template, known := config.Template(team)
	if known && template.Open {
		return template, nil
	}
	presented, ok := bearer(c)
	if !ok {
		p := keyProblem(http.StatusUnauthorized, "key-missing", "the workspace needs a key: Authorization: Bearer <key>")
		return template, &p
	}
	owner, ok := config.TeamOfKey(presented)
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

// bearer returns the key of the Authorization header, or false if the header holds
// no bearer key.
func bearer(c *app.RequestContext) (string, bool) {
	scheme, key, ok := strings.Cut(string(c.GetHeader("Authorization")), " ")
	key = strings.TrimSpace(key)
	return key, ok && strings.EqualFold(scheme, "Bearer") && key != ""
}
