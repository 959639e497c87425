package settings

import (
	"math"
	"regexp"
	"slices"

	"github.com/pelletier/go-toml/v2"
	"github.com/zeebo/errs"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

// milliPerCPU is the number of thousandths per processor in model.Resources.
const milliPerCPU = 1000

// Templates is the content of a file of workspace templates.
type Templates struct {
	Template []Template `toml:"template"`
}

// Template is one workspace template as written in a file.
type Template struct {
	Team       string   `toml:"team"`
	Kinds      []string `toml:"kinds"`
	Share      float64  `toml:"share"`
	UpperLimit Amount   `toml:"upper_limit"`
	Services   []string `toml:"services"`
	Open       bool     `toml:"open"`
	Urgent     bool     `toml:"urgent"`
	MaxQueued  int      `toml:"max_queued"`
}

// Amount is an amount of resources as written in a file.
type Amount struct {
	Processors   float64 `toml:"processors"`
	Memory       Size    `toml:"memory"`
	Accelerators int64   `toml:"accelerators"`
	Slots        int64   `toml:"slots"`
}

// namePattern matches valid names of teams and services, which are used in URLs
// and partition ids.
var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// LoadTemplates reads a file of workspace templates. The error is a
// findings.List.
func LoadTemplates(path string) ([]model.WorkspaceTemplate, error) {
	d, err := readDocument(path)
	if err != nil {
		return nil, err
	}
	return d.templates()
}

// ParseTemplates reads workspace templates from the content of the named file.
// The error is a findings.List.
func ParseTemplates(name string, data []byte) ([]model.WorkspaceTemplate, error) {
	d, err := parseDocument(name, data)
	if err != nil {
		return nil, err
	}
	return d.templates()
}

func (d *document) templates() ([]model.WorkspaceTemplate, error) {
	var file Templates
	d.bind(&file)
	if len(file.Template) == 0 {
		d.add("template", "the file holds no [[template]]")
	}
	out := make([]model.WorkspaceTemplate, 0, len(file.Template))
	firstIndex := map[string]int{}
	for i, t := range file.Template {
		prefix := indexKey("template", i)
		if earlier, ok := firstIndex[t.Team]; ok && t.Team != "" {
			d.add(prefix+".team", "team %q already has a template at line %d", t.Team, d.line(indexKey("template", earlier)))
		} else {
			firstIndex[t.Team] = i
		}
		d.checkTemplate(prefix, t)
		out = append(out, t.model())
	}
	if err := d.found.Err(); err != nil {
		return nil, err
	}
	return out, nil
}

func (d *document) checkTemplate(prefix string, t Template) {
	if !namePattern.MatchString(t.Team) {
		d.add(prefix+".team", "%q is not a name of lower-case letters, digits and hyphens", t.Team)
	}
	for i, s := range t.Services {
		if !namePattern.MatchString(s) {
			d.add(indexKey(prefix+".services", i), "%q is not a name of lower-case letters, digits and hyphens", s)
		}
	}
	if !(t.Share > 0) || math.IsInf(t.Share, 0) {
		d.add(prefix+".share", "must be a finite number above 0")
	}
	d.positiveInt(prefix+".max_queued", int64(t.MaxQueued))
	d.checkAmount(prefix+".upper_limit", t.UpperLimit)
	d.checkKinds(prefix, t)
}

// maxProcessors keeps the conversion to thousandths within the range of int64.
const maxProcessors = 1e9

func (d *document) checkAmount(key string, a Amount) {
	if !(a.Processors >= 0 && a.Processors <= maxProcessors) {
		d.add(key+".processors", "must be between 0 and %d", int64(maxProcessors))
	}
	if a.Memory%MiB != 0 {
		d.add(key+".memory", "must be a multiple of 1MiB")
	}
	if a.Accelerators < 0 {
		d.add(key+".accelerators", "must not be negative")
	}
	if a.Slots < 0 {
		d.add(key+".slots", "must not be negative")
	}
}

func (d *document) checkKinds(prefix string, t Template) {
	if len(t.Kinds) == 0 {
		d.add(prefix+".kinds", "is missing")
	}
	for i, kind := range t.Kinds {
		key := indexKey(prefix+".kinds", i)
		d.oneOf(key, kind, string(model.WorkQuick), string(model.WorkBatch), string(model.WorkGang), string(model.WorkService))
		if slices.Index(t.Kinds, kind) < i {
			d.add(key, "%q is listed twice", kind)
		}
	}
	quick := slices.Contains(t.Kinds, string(model.WorkQuick))
	if quick && len(t.Services) == 0 {
		d.add(prefix+".services", "quick work needs at least one service")
	}
	if quick && t.UpperLimit.Slots == 0 {
		d.add(prefix+".upper_limit.slots", "quick work needs at least one slot")
	}
	if !quick && len(t.Services) > 0 {
		d.add(prefix+".services", "only quick work uses services, and kinds does not list it")
	}
	usesWorkers := len(t.Kinds) > 1 || (len(t.Kinds) == 1 && !quick)
	if usesWorkers && (t.UpperLimit.Processors == 0 || t.UpperLimit.Memory == 0) {
		d.add(prefix+".upper_limit", "work on workers needs processors and memory")
	}
}

func (t Template) model() model.WorkspaceTemplate {
	out := model.WorkspaceTemplate{
		Team:        model.TeamID(t.Team),
		ShareWeight: t.Share,
		UpperLimit: model.Resources{
			MilliCPU:     int64(math.Round(t.UpperLimit.Processors * milliPerCPU)),
			MemoryMiB:    int64(t.UpperLimit.Memory / MiB),
			Accelerators: t.UpperLimit.Accelerators,
			Slots:        t.UpperLimit.Slots,
		},
		Open:      t.Open,
		Urgent:    t.Urgent,
		MaxQueued: t.MaxQueued,
	}
	for _, kind := range t.Kinds {
		out.Kinds = append(out.Kinds, model.WorkKind(kind))
	}
	for _, s := range t.Services {
		out.Services = append(out.Services, model.ServiceID(s))
	}
	return out
}

// FormatTemplates encodes templates in the format that LoadTemplates reads.
func FormatTemplates(templates []model.WorkspaceTemplate) ([]byte, error) {
	var file Templates
	for _, t := range templates {
		file.Template = append(file.Template, templateOf(t))
	}
	data, err := toml.Marshal(file)
	return data, errs.Wrap(err)
}

func templateOf(t model.WorkspaceTemplate) Template {
	out := Template{
		Team:  string(t.Team),
		Kinds: []string{},
		Share: t.ShareWeight,
		UpperLimit: Amount{
			Processors:   float64(t.UpperLimit.MilliCPU) / milliPerCPU,
			Memory:       Size(t.UpperLimit.MemoryMiB) * MiB,
			Accelerators: t.UpperLimit.Accelerators,
			Slots:        t.UpperLimit.Slots,
		},
		Services:  []string{},
		Open:      t.Open,
		Urgent:    t.Urgent,
		MaxQueued: t.MaxQueued,
	}
	for _, kind := range t.Kinds {
		out.Kinds = append(out.Kinds, string(kind))
	}
	for _, s := range t.Services {
		out.Services = append(out.Services, string(s))
	}
	return out
}
