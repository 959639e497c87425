package entry

import (
	"fmt"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
	"github.com/balsamhitch/balsamhitch/internal/core/request"
)

// Classes of quick requests in metrics.
const (
	classQuick  = "quick"
	classUrgent = "urgent"
)

// stats holds the entry's metrics. Only teams with a template become label values.
type stats struct {
	set            *metrics.Set
	droppedAnswers *metrics.Counter
}

func newStats(set *metrics.Set) *stats {
	return &stats{
		set:            set,
		droppedAnswers: set.GetOrCreateCounter("balsamhitch_entry_dropped_answers_total"),
	}
}

// waited records the time from a request's arrival to its first send.
func (s *stats) waited(team model.TeamID, class string, d time.Duration) {
	s.histogram("balsamhitch_request_wait_seconds", team, class).Update(d.Seconds())
}

// served records the time from a request's send to its answer.
func (s *stats) served(team model.TeamID, class string, d time.Duration) {
	s.histogram("balsamhitch_request_service_seconds", team, class).Update(d.Seconds())
}

func (s *stats) histogram(name string, team model.TeamID, class string) *metrics.Histogram {
	return s.set.GetOrCreateHistogram(fmt.Sprintf(`%s{team=%q,class=%q}`, name, team, class))
}

func (s *stats) ended(team model.TeamID, class string, outcome model.Outcome) {
	s.set.GetOrCreateCounter(fmt.Sprintf(
		`balsamhitch_requests_total{team=%q,class=%q,outcome=%q}`, team, class, outcome)).Inc()
}

func (s *stats) refused(team model.TeamID, reason string) {
	s.set.GetOrCreateCounter(fmt.Sprintf(
		`balsamhitch_refusals_total{team=%q,reason=%q}`, team, reason)).Inc()
}

func (s *stats) unrecorded() {
	s.set.GetOrCreateCounter("balsamhitch_entry_unrecorded_ends_total").Inc()
}

func classOf(urgent bool) string {
	if urgent {
		return classUrgent
	}
	return classQuick
}

// reasonName returns the name of a reason for problem types and metrics.
func reasonName(reason request.Reason) string {
	name, ok := reasonNames[reason]
	if !ok {
		return "unavailable"
	}
	return name
}

var reasonNames = map[request.Reason]string{
	request.NotOwner:    "unavailable",
	request.StaleEpoch:  "unavailable",
	request.Unavailable: "unavailable",
	request.OverLimit:   "over-limit",
	request.QueueFull:   "queue-full",
	request.Deadline:    "deadline",
	request.NoCapacity:  "no-capacity",
	request.NotFound:    "not-found",
	request.Conflict:    "key-in-use",
	request.Invalid:     "invalid-request",
	request.DomainOut:   "domain-out",
	request.NeverFits:   "never-fits",
}

// typePrefix makes reason names globally unique as problem types.
const typePrefix = "urn:balsamhitch:problem:"

func problemType(name string) string { return typePrefix + strings.ToLower(name) }
