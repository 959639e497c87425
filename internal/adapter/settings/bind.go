package settings

import (
	"reflect"
	"sort"
	"time"
)

var (
	durationType = reflect.TypeFor[time.Duration]()
	sizeType     = reflect.TypeFor[Size]()
)

// bind copies the document's values into the struct that target points to. It
// adds findings for keys without a field and values of the wrong type. Fields
// whose key is absent keep their values.
func (d *document) bind(target any) {
	d.bindTable("", d.values, reflect.ValueOf(target).Elem())
}

func (d *document) bindTable(prefix string, table map[string]any, target reflect.Value) {
	fields := fieldsByKey(target.Type())
	for _, key := range sortedKeys(table) {
		path := joinKey(prefix, key)
		index, ok := fields[key]
		if !ok {
			d.add(path, "unknown key")
			continue
		}
		d.bindValue(path, table[key], target.Field(index))
	}
}

func (d *document) bindValue(path string, value any, target reflect.Value) {
	switch target.Type() {
	case durationType:
		d.bindDuration(path, value, target)
		return
	case sizeType:
		d.bindSize(path, value, target)
		return
	}
	switch target.Kind() {
	case reflect.Struct:
		table, ok := value.(map[string]any)
		if !ok {
			d.add(path, "must be a table")
			return
		}
		d.bindTable(path, table, target)
	case reflect.Slice:
		d.bindSlice(path, value, target)
	default:
		d.bindScalar(path, value, target)
	}
}

func (d *document) bindSlice(path string, value any, target reflect.Value) {
	list, ok := value.([]any)
	if !ok {
		d.add(path, "must be a list")
		return
	}
	out := reflect.MakeSlice(target.Type(), len(list), len(list))
	for i, item := range list {
		d.bindValue(indexKey(path, i), item, out.Index(i))
	}
	target.Set(out)
}

func (d *document) bindScalar(path string, value any, target reflect.Value) {
	switch target.Kind() {
	case reflect.String:
		if s, ok := value.(string); ok {
			target.SetString(s)
			return
		}
		d.add(path, "must be a string")
	case reflect.Bool:
		if b, ok := value.(bool); ok {
			target.SetBool(b)
			return
		}
		d.add(path, "must be true or false")
	case reflect.Float64:
		switch n := value.(type) {
		case float64:
			target.SetFloat(n)
		case int64:
			target.SetFloat(float64(n))
		default:
			d.add(path, "must be a number")
		}
	default:
		if n, ok := value.(int64); ok {
			target.SetInt(n)
			return
		}
		d.add(path, "must be a whole number")
	}
}

func (d *document) bindDuration(path string, value any, target reflect.Value) {
	s, ok := value.(string)
	if !ok {
		d.add(path, `must be a duration with a unit, such as "2s"`)
		return
	}
	duration, err := time.ParseDuration(s)
	if err != nil || duration < 0 {
		d.add(path, `%q is not a duration with a unit, such as "2s" or "150ms"`, s)
		return
	}
	target.SetInt(int64(duration))
}

func (d *document) bindSize(path string, value any, target reflect.Value) {
	s, ok := value.(string)
	if !ok {
		d.add(path, `must be a size with a unit, such as "64KiB"`)
		return
	}
	size, err := ParseSize(s)
	if err != nil {
		d.add(path, "%v", err)
		return
	}
	target.SetInt(int64(size))
}

// fieldsByKey maps the TOML key of each field to the field's index.
func fieldsByKey(t reflect.Type) map[string]int {
	fields := make(map[string]int, t.NumField())
	for i := range t.NumField() {
		fields[t.Field(i).Tag.Get("toml")] = i
	}
	return fields
}

func sortedKeys(table map[string]any) []string {
	keys := make([]string, 0, len(table))
	for key := range table {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}
