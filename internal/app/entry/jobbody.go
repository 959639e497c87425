package entry

import (
	"bytes"
	"encoding/json"
	"math"
	"slices"
	"time"

	"github.com/balsamhitch/balsamhitch/internal/adapter/settings"
	"github.com/balsamhitch/balsamhitch/internal/core/findings"
	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

const (
	maxTasks      = 100_000
	maxProcessors = 1 << 20
	milli         = 1000
)

// jobFieldReaders holds one function for each field of a job. Fields are decoded
// one by one so that the errors of all of them are reported together.
var jobFieldReaders = map[string]func(raw json.RawMessage, job *model.Job, found *findings.List){
	"kind":            readKind,
	"tasks":           readTasks,
	"processors":      readProcessors,
	"memory":          readMemory,
	"accelerators":    readAccelerators,
	"expected_run":    readExpectedRun,
	"failure_domains": readDomains,
	"template":        readTemplate,
	"start_by":        readStartBy,
	"payload":         readPayload,
}

// parseJob decodes the body of a job and adds its errors to found. The number of
// tasks defaults to one.
func parseJob(body []byte, found *findings.List) model.Job {
	job := model.Job{Tasks: 1}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		found.Add(inBody, 0, "", "is no JSON object: %v", err)
		return job
	}
	names := make([]string, 0, len(fields))
	for name := range fields {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		read, known := jobFieldReaders[name]
		if !known {
			found.Add(inBody, 0, name, "unknown field")
			continue
		}
		read(fields[name], &job, found)
	}
	checkJob(fields, job, found)
	return job
}

// checkJob adds findings about missing and contradictory fields.
func checkJob(fields map[string]json.RawMessage, job model.Job, found *findings.List) {
	for _, name := range []string{"kind", "processors", "memory"} {
		if _, ok := fields[name]; !ok {
			found.Add(inBody, 0, name, "missing")
		}
	}
	if job.Kind == model.WorkService && job.DeclaredRunTime > 0 {
		found.Add(inBody, 0, "expected_run", "a service runs until it is cancelled")
	}
}

// decode unmarshals a field into out. On failure it adds a finding that names the
// wanted type and returns false.
func decode(raw json.RawMessage, out any, name, want string, found *findings.List) bool {
	if err := json.Unmarshal(raw, out); err != nil {
		found.Add(inBody, 0, name, "%s is not %s", truncate(raw), want)
		return false
	}
	return true
}

func truncate(raw json.RawMessage) string {
	const maxBytes = 40
	if len(raw) > maxBytes {
		return string(bytes.ToValidUTF8(raw[:maxBytes], nil)) + "..."
	}
	return string(raw)
}

func readKind(raw json.RawMessage, job *model.Job, found *findings.List) {
	var kind model.WorkKind
	if !decode(raw, &kind, "kind", "a string", found) {
		return
	}
	switch kind {
	case model.WorkBatch, model.WorkGang, model.WorkService:
		job.Kind = kind
	default:
		found.Add(inBody, 0, "kind", "%q is none of batch, gang, service", kind)
	}
}

func readTasks(raw json.RawMessage, job *model.Job, found *findings.List) {
	if decode(raw, &job.Tasks, "tasks", "a whole number", found) && (job.Tasks < 1 || job.Tasks > maxTasks) {
		found.Add(inBody, 0, "tasks", "%d is not between 1 and %d", job.Tasks, maxTasks)
	}
}

func readProcessors(raw json.RawMessage, job *model.Job, found *findings.List) {
	var processors float64
	if !decode(raw, &processors, "processors", "a number", found) {
		return
	}
	job.Size.MilliCPU = int64(math.Ceil(processors * milli))
	if processors <= 0 || processors > maxProcessors {
		found.Add(inBody, 0, "processors", "%v is not between 0 and %d", processors, maxProcessors)
	}
}

func readMemory(raw json.RawMessage, job *model.Job, found *findings.List) {
	var text string
	if !decode(raw, &text, "memory", "a string such as \"4GiB\"", found) {
		return
	}
	size, err := settings.ParseSize(text)
	if err != nil {
		found.Add(inBody, 0, "memory", "%v", err)
		return
	}
	// Rounded up so that a task gets at least what it requests.
	job.Size.MemoryMiB = int64((size + settings.MiB - 1) / settings.MiB)
	if size <= 0 {
		found.Add(inBody, 0, "memory", "must be more than nothing")
	}
}

func readAccelerators(raw json.RawMessage, job *model.Job, found *findings.List) {
	if decode(raw, &job.Size.Accelerators, "accelerators", "a whole number", found) && job.Size.Accelerators < 0 {
		found.Add(inBody, 0, "accelerators", "must not be negative")
	}
}

func readExpectedRun(raw json.RawMessage, job *model.Job, found *findings.List) {
	var text string
	if !decode(raw, &text, "expected_run", "a string such as \"30m\"", found) {
		return
	}
	run, err := time.ParseDuration(text)
	if err != nil || run <= 0 {
		found.Add(inBody, 0, "expected_run", "%q is not a duration such as 30m or 2h", text)
	}
	job.DeclaredRunTime = run
}

func readDomains(raw json.RawMessage, job *model.Job, found *findings.List) {
	if decode(raw, &job.FailureDomains, "failure_domains", "a list of names", found) && slices.Contains(job.FailureDomains, "") {
		found.Add(inBody, 0, "failure_domains", "holds an empty name")
	}
}

func readTemplate(raw json.RawMessage, job *model.Job, found *findings.List) {
	decode(raw, &job.Template, "template", "a string", found)
}

func readStartBy(raw json.RawMessage, job *model.Job, found *findings.List) {
	decode(raw, &job.StartBy, "start_by", "a time such as \"2026-12-31T18:00:00Z\"", found)
}

// readPayload stores the content of a JSON string and any other JSON value as is.
func readPayload(raw json.RawMessage, job *model.Job, _ *findings.List) {
	var text string
	if json.Unmarshal(raw, &text) == nil {
		job.Payload = []byte(text)
		return
	}
	job.Payload = bytes.Clone(raw)
}
