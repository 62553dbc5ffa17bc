package settings

import (
	"bytes"
	"encoding"
	"encoding/json"
	"fmt"
	"reflect"
	"sort"
	"strings"

	"github.com/tailscale/hujson"
)

// decoder decodes JSON with comments into a struct and collects all problems with their lines.
type decoder struct {
	name     string
	content  []byte
	lines    map[string]int
	problems []Problem
	reported map[string]bool
	// syntaxInvalid is true when the content is not valid JSON with comments.
	syntaxInvalid bool
}

// decode decodes content into a struct. name is the file name in problems.
func decode(name string, content []byte, into any) *decoder {
	d := &decoder{name: name, content: content, lines: map[string]int{}, reported: map[string]bool{}}
	root, err := hujson.Parse(content)
	if err != nil {
		d.syntaxInvalid = true
		message := strings.TrimPrefix(err.Error(), "hujson: ")
		d.problems = append(d.problems, Problem{File: name, Line: syntaxLine(message), Field: "syntax", Message: message})
		return d
	}
	d.value(root, reflect.ValueOf(into).Elem(), "")
	return d
}

// syntaxLine returns the line named in the parser's message, or 1 if there is none.
func syntaxLine(message string) int {
	line := 1
	fmt.Sscanf(message, "line %d", &line)
	return line
}

func (d *decoder) lineAt(offset int) int {
	return 1 + bytes.Count(d.content[:min(offset, len(d.content))], []byte{'\n'})
}

// require adds a problem when ok is false, unless the field has one already. The problem is at the
// line of the field or of its nearest parent.
func (d *decoder) require(ok bool, field, format string, args ...any) {
	if !ok {
		d.report(Problem{Field: field, Message: fmt.Sprintf(format, args...)})
	}
}

// report adds a problem, unless its field has one already.
func (d *decoder) report(problem Problem) {
	if d.reported[problem.Field] {
		return
	}
	d.reported[problem.Field] = true
	problem.File, problem.Line = d.name, d.lineOf(problem.Field)
	d.problems = append(d.problems, problem)
	sort.SliceStable(d.problems, func(i, j int) bool { return d.problems[i].Line < d.problems[j].Line })
}

func (d *decoder) lineOf(field string) int {
	for field != "" {
		if line, found := d.lines[field]; found {
			return line
		}
		field = field[:max(0, strings.LastIndexAny(field, ".["))]
	}
	return 1
}

// value decodes a value into a struct, a slice or a scalar and records the line of its field.
func (d *decoder) value(value hujson.Value, into reflect.Value, field string) {
	if _, known := d.lines[field]; !known {
		d.lines[field] = d.lineAt(value.StartOffset)
	}
	object, isObject := value.Value.(*hujson.Object)
	if into.Kind() == reflect.Struct {
		if !isObject {
			d.require(false, field, "must be an object")
			return
		}
		d.object(object, into, field)
		return
	}
	if array, isArray := value.Value.(*hujson.Array); isArray && into.Kind() == reflect.Slice {
		d.array(array, into, field)
		return
	}
	d.scalar(value, into, field)
}

// object decodes the members of an object. Unknown and repeated members are problems.
func (d *decoder) object(object *hujson.Object, into reflect.Value, field string) {
	seen := map[string]bool{}
	for i := range object.Members {
		member := &object.Members[i]
		name := member.Name.Value.(hujson.Literal).String()
		path := join(field, name)
		d.lines[path] = d.lineAt(member.Name.StartOffset)
		target, found := fieldByTag(into, name)
		switch {
		case !found:
			d.report(Problem{Field: path, Message: "is not a known field; known here: " + strings.Join(tags(into), ", "), IsUnknown: true})
		case seen[name]:
			d.require(false, path, "is given twice")
		default:
			d.value(member.Value, target, path)
		}
		seen[name] = true
	}
}

func (d *decoder) array(array *hujson.Array, into reflect.Value, field string) {
	into.Set(reflect.MakeSlice(into.Type(), len(array.Elements), len(array.Elements)))
	for i, element := range array.Elements {
		d.value(element, into.Index(i), fmt.Sprintf("%s[%d]", field, i))
	}
}

// scalar decodes a value with encoding/json, such as a string, a number or a text unmarshaler.
func (d *decoder) scalar(value hujson.Value, into reflect.Value, field string) {
	value = value.Clone()
	value.Standardize()
	err := json.Unmarshal(bytes.TrimSpace(value.Pack()), into.Addr().Interface())
	if err == nil {
		return
	}
	if _, custom := into.Addr().Interface().(encoding.TextUnmarshaler); custom && !strings.HasPrefix(err.Error(), "json:") {
		d.require(false, field, "%s", err)
		return
	}
	d.require(false, field, "must be a %s", kindName(into))
}

// kindName returns the name of a type in problems.
func kindName(value reflect.Value) string {
	if _, custom := value.Addr().Interface().(encoding.TextUnmarshaler); custom {
		return "string"
	}
	switch value.Kind() {
	case reflect.Slice:
		return "list"
	case reflect.String:
		return "string"
	case reflect.Bool:
		return "true or false"
	default:
		return "number"
	}
}

func join(field, name string) string {
	if field == "" {
		return name
	}
	return field + "." + name
}

func fieldByTag(structure reflect.Value, name string) (reflect.Value, bool) {
	for i := range structure.NumField() {
		if structure.Type().Field(i).Tag.Get("json") == name {
			return structure.Field(i), true
		}
	}
	return reflect.Value{}, false
}

func tags(structure reflect.Value) []string {
	var names []string
	for i := range structure.NumField() {
		names = append(names, structure.Type().Field(i).Tag.Get("json"))
	}
	return names
}
