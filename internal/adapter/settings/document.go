package settings

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"

	"github.com/balsamhitch/balsamhitch/internal/core/findings"
)

// maxFileBytes is the maximum size of a settings or template file.
const maxFileBytes = 4 << 20

// document is a parsed TOML file with the line of each key.
type document struct {
	name   string
	values map[string]any
	lines  map[string]int // by dotted path; array elements as in "template[0]"
	found  findings.List
}

// readDocument reads and parses the file. The returned error is a
// findings.List.
func readDocument(path string) (*document, error) {
	var found findings.List
	info, err := os.Stat(path)
	if err == nil && info.Size() > maxFileBytes {
		found.Add(path, 0, "", "the file is larger than %d bytes", maxFileBytes)
		return nil, found
	}
	data, err := os.ReadFile(path)
	if err != nil {
		found.Add(path, 0, "", "cannot be read: %v", err)
		return nil, found
	}
	return parseDocument(path, data)
}

// parseDocument parses the content of the named file.
func parseDocument(name string, data []byte) (*document, error) {
	d := &document{name: name, lines: map[string]int{}}
	if err := toml.Unmarshal(data, &d.values); err != nil {
		line := 0
		var decodeErr *toml.DecodeError
		if errors.As(err, &decodeErr) {
			line, _ = decodeErr.Position()
		}
		d.found.Add(name, line, "", "not valid TOML: %v", err)
		return nil, d.found
	}
	d.locate(data)
	return d, nil
}

// add adds a finding at the line of the key or of its nearest parent. Only the
// first finding of a key is kept, since later ones are consequences of it.
func (d *document) add(key, format string, args ...any) {
	sameKey := func(f findings.Finding) bool { return f.Key == key }
	if slices.ContainsFunc(d.found, sameKey) {
		return
	}
	d.found.Add(d.name, d.line(key), key, format, args...)
}

// line returns the line of the key or of its nearest parent, or 0.
func (d *document) line(key string) int {
	for key != "" {
		if line, ok := d.lines[key]; ok {
			return line
		}
		key = parentKey(key)
	}
	return 0
}

// locate records the line of every key. The document must be valid TOML.
func (d *document) locate(data []byte) {
	var parser unstable.Parser
	parser.Reset(data)
	tables := map[string]int{} // number of elements so far per array of tables
	prefix := ""
	for parser.NextExpression() {
		node := parser.Expression()
		switch node.Kind {
		case unstable.Table:
			prefix = d.locateKey(&parser, "", node, tables)
		case unstable.ArrayTable:
			prefix = d.locateArrayTable(&parser, node, tables)
		case unstable.KeyValue:
			d.locateValue(&parser, prefix, node, tables)
		}
	}
}

// locateKey records the lines of a dotted key and returns its full path.
// Within the path, an array of tables refers to its last element.
func (d *document) locateKey(p *unstable.Parser, prefix string, node *unstable.Node, tables map[string]int) string {
	path := prefix
	for it := node.Key(); it.Next(); {
		key := it.Node()
		path = joinKey(path, string(key.Data))
		if n := tables[path]; n > 0 {
			path = indexKey(path, n-1)
		}
		if _, ok := d.lines[path]; !ok {
			d.lines[path] = p.Shape(key.Raw).Start.Line
		}
	}
	return path
}

func (d *document) locateArrayTable(p *unstable.Parser, node *unstable.Node, tables map[string]int) string {
	var keys []*unstable.Node
	for it := node.Key(); it.Next(); {
		keys = append(keys, it.Node())
	}
	path := ""
	for i, key := range keys {
		path = joinKey(path, string(key.Data))
		last := i == len(keys)-1
		if last {
			tables[path]++
		}
		if n := tables[path]; n > 0 {
			path = indexKey(path, n-1)
		}
		if _, ok := d.lines[path]; !ok {
			d.lines[path] = p.Shape(key.Raw).Start.Line
		}
	}
	return path
}

func (d *document) locateValue(p *unstable.Parser, prefix string, node *unstable.Node, tables map[string]int) {
	path := d.locateKey(p, prefix, node, tables)
	d.locateNested(p, path, node.Value(), tables)
}

func (d *document) locateNested(p *unstable.Parser, path string, value *unstable.Node, tables map[string]int) {
	switch value.Kind {
	case unstable.InlineTable:
		for it := value.Children(); it.Next(); {
			d.locateValue(p, path, it.Node(), tables)
		}
	case unstable.Array:
		i := 0
		for it := value.Children(); it.Next(); i++ {
			d.locateNested(p, indexKey(path, i), it.Node(), tables)
		}
	}
}

func joinKey(prefix, key string) string {
	if prefix == "" {
		return key
	}
	return prefix + "." + key
}

func indexKey(path string, i int) string {
	return fmt.Sprintf("%s[%d]", path, i)
}

func parentKey(key string) string {
	if i := strings.LastIndexAny(key, ".["); i >= 0 {
		return key[:i]
	}
	return ""
}
