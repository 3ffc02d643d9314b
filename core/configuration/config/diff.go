package config

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
)

// maskLength is how many digits of a digest are shown.
const maskLength = 12

// DiffLine is one line of a difference between two configurations.
type DiffLine struct {
	// Op is "+" for an added item, "-" for a removed one and "~" for a changed
	// field.
	Op   string `json:"op"`
	Kind string `json:"kind"`
	Name string `json:"name"`
	// Field, From and To are set for "~"; To holds all fields for "+".
	Field string `json:"field,omitempty"`
	From  string `json:"from,omitempty"`
	To    string `json:"to,omitempty"`
}

// String returns the line as operators read it.
func (l DiffLine) String() string {
	head := l.Op + " " + l.Kind + " " + l.Name
	if l.Field != "" {
		return fmt.Sprintf("%s: %s %s -> %s", head, l.Field, l.From, l.To)
	}
	if l.To != "" {
		return head + ": " + l.To
	}
	return head
}

// Diff lists the changes between two configurations, in the order of the
// document. Digests of tokens are shortened. Revisions, changes and audit
// records are left out.
func Diff(from, to Config) []DiffLine {
	var lines []DiffLine
	lines = append(lines, diffList("workspace", from.Workspaces, to.Workspaces)...)
	lines = append(lines, diffList("model", from.Models, to.Models)...)
	lines = append(lines, diffList("service", from.Services, to.Services)...)
	lines = append(lines, diffList("target", from.Targets, to.Targets)...)
	lines = append(lines, diffList("group", from.Groups, to.Groups)...)
	lines = append(lines, diffList("operator", from.Operators, to.Operators)...)
	lines = append(lines, diffZones(from.EvacuatedZones, to.EvacuatedZones)...)
	return lines
}

func diffList[T named](kind string, from, to []T) []DiffLine {
	var lines []DiffLine
	before := make(map[string]T, len(from))
	for _, v := range from {
		before[v.name()] = v
	}
	after := names(to)
	for _, v := range from {
		if !after[v.name()] {
			lines = append(lines, DiffLine{Op: "-", Kind: kind, Name: v.name()})
		}
	}
	for _, v := range to {
		old, ok := before[v.name()]
		if !ok {
			lines = append(lines, DiffLine{Op: "+", Kind: kind, Name: v.name(), To: summary(v)})
			continue
		}
		lines = append(lines, diffFields(kind, old, v)...)
	}
	return lines
}

// diffZones lists the zones that are evacuated or restored.
func diffZones(from, to []string) []DiffLine {
	var lines []DiffLine
	for _, zone := range from {
		if !slices.Contains(to, zone) {
			lines = append(lines, DiffLine{Op: "-", Kind: "evacuated-zone", Name: zone})
		}
	}
	for _, zone := range to {
		if !slices.Contains(from, zone) {
			lines = append(lines, DiffLine{Op: "+", Kind: "evacuated-zone", Name: zone})
		}
	}
	return lines
}

func diffFields[T named](kind string, from, to T) []DiffLine {
	var lines []DiffLine
	a, b := reflect.ValueOf(from), reflect.ValueOf(to)
	for i := range a.NumField() {
		x, y := a.Field(i), b.Field(i)
		if reflect.DeepEqual(x.Interface(), y.Interface()) || isEmptyList(x) && isEmptyList(y) {
			continue
		}
		lines = append(lines, DiffLine{
			Op: "~", Kind: kind, Name: to.name(), Field: fieldName(a.Type().Field(i)),
			From: show(x), To: show(y),
		})
	}
	return lines
}

// isEmptyList treats a nil slice like an empty one: the two are the same after
// a round trip through JSON.
func isEmptyList(v reflect.Value) bool {
	return v.Kind() == reflect.Slice && v.Len() == 0
}

func summary[T named](v T) string {
	var parts []string
	r := reflect.ValueOf(v)
	for i := range r.NumField() {
		name := fieldName(r.Type().Field(i))
		if name == "name" || r.Field(i).IsZero() || isEmptyList(r.Field(i)) {
			continue
		}
		parts = append(parts, name+" "+show(r.Field(i)))
	}
	return strings.Join(parts, ", ")
}

func fieldName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	return name
}

func show(v reflect.Value) string {
	switch x := v.Interface().(type) {
	case string:
		return showText(x)
	case []string:
		return showList(x, showText)
	case []Route:
		return showList(x, showRoute)
	default:
		return fmt.Sprint(x)
	}
}

func showText(s string) string {
	if s == "" {
		return "none"
	}
	return mask(s)
}

func showRoute(r Route) string {
	method := r.Method
	if method == "" {
		method = "any"
	}
	if r.MayNotRepeat {
		return method + " " + r.Prefix + " may-not-repeat"
	}
	return method + " " + r.Prefix
}

func showList[T any](list []T, one func(T) string) string {
	parts := make([]string, len(list))
	for i, v := range list {
		parts[i] = one(v)
	}
	return "[" + strings.Join(parts, ", ") + "]"
}

// mask truncates a text that is as long as a digest, so that neither a diff nor
// an error reveals the complete digest of a token.
func mask(s string) string {
	if len(s) < DigestSize {
		return s
	}
	return s[:maskLength] + "..."
}

// Masked returns a copy of c in which the digests of tokens are shortened.
func (c Config) Masked() Config {
	c.Workspaces = append([]Workspace(nil), c.Workspaces...)
	for i, w := range c.Workspaces {
		c.Workspaces[i].TokenHashes = make([]string, len(w.TokenHashes))
		for j, h := range w.TokenHashes {
			c.Workspaces[i].TokenHashes[j] = mask(h)
		}
	}
	c.Operators = append([]Operator(nil), c.Operators...)
	for i, o := range c.Operators {
		c.Operators[i].TokenHash = mask(o.TokenHash)
	}
	return c
}
