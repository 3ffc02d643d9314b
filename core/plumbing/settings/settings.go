// Package settings reads and validates a program's settings from an INI file.
//
// Each key is declared once, with its default, unit, bounds and meaning. The same
// declaration validates the file at start-up and generates the reference page. An
// undeclared key, a value out of bounds or a missing file is an error that names
// the file, the section, the key and what was expected.
//
// # Usage
//
//	var set settings.Set
//	var drain time.Duration
//	set.Duration("drain", "bound", &drain, 30*time.Second, time.Second, time.Hour, "longest graceful shutdown")
//	err := set.Load("entry.ini")
package settings

import (
	"fmt"
	"io"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

// Error reports an invalid setting.
type Error struct {
	File    string
	Section string
	Key     string
	// Got is the value found; empty if the key or the file is missing.
	Got string
	// Want describes what was expected.
	Want string
}

// Error names the setting and what was expected.
func (e *Error) Error() string {
	if e.Key == "" {
		return fmt.Sprintf("settings file %s: want %s", e.File, e.Want)
	}
	return fmt.Sprintf("settings file %s: [%s] %s = %q: want %s", e.File, e.Section, e.Key, e.Got, e.Want)
}

// key is one declared setting.
type key struct {
	section, name, def, want, doc string
	secret                        bool
	parse                         func(string) error
}

// Set is the set of settings that one program declares. The zero value is empty.
type Set struct {
	keys []key
}

func (s *Set) add(k key) {
	s.keys = append(s.keys, k)
}

// String declares a setting of free text.
func (s *Set) String(section, name string, p *string, def, doc string) {
	*p = def
	s.add(key{section: section, name: name, def: def, want: "text", doc: doc, parse: func(v string) error {
		*p = v
		return nil
	}})
}

// Name declares a required setting that must not be empty.
func (s *Set) Name(section, name string, p *string, doc string) {
	s.add(key{section: section, name: name, want: "a name, required", doc: doc, parse: func(v string) error {
		if v == "" {
			return strconv.ErrSyntax
		}
		*p = v
		return nil
	}})
}

// Address declares an IP address and port, such as 127.0.0.1:8080. An empty
// default makes it required; the default "none" makes it optional.
func (s *Set) Address(section, name string, p *string, def, doc string) {
	*p = strings.TrimPrefix(def, "none")
	s.add(key{section: section, name: name, def: def, want: "an IP number and port such as 127.0.0.1:8080", doc: doc, parse: func(v string) error {
		if v == "none" {
			*p = ""
			return nil
		}
		if _, err := netip.ParseAddrPort(v); err != nil {
			return err
		}
		*p = v
		return nil
	}})
}

// Addresses declares a list of IP addresses with ports, separated by commas.
func (s *Set) Addresses(section, name string, p *[]string, doc string) {
	s.add(key{section: section, name: name, want: "IP numbers and ports, separated by commas", doc: doc, parse: func(v string) error {
		for _, part := range strings.Split(v, ",") {
			part = strings.TrimSpace(part)
			if _, err := netip.ParseAddrPort(part); err != nil {
				return err
			}
			*p = append(*p, part)
		}
		return nil
	}})
}

// Duration declares a duration between low and high.
func (s *Set) Duration(section, name string, p *time.Duration, def, low, high time.Duration, doc string) {
	*p = def
	want := fmt.Sprintf("a duration between %v and %v", low, high)
	s.add(key{section: section, name: name, def: def.String(), want: want, doc: doc, parse: func(v string) error {
		d, err := time.ParseDuration(v)
		if err != nil || d < low || d > high {
			return strconv.ErrRange
		}
		*p = d
		return nil
	}})
}

// Int declares an integer between low and high, counted in unit.
func (s *Set) Int(section, name string, p *int, def, low, high int, unit, doc string) {
	*p = def
	want := fmt.Sprintf("a whole number of %s between %d and %d", unit, low, high)
	s.add(key{section: section, name: name, def: strconv.Itoa(def), want: want, doc: doc, parse: func(v string) error {
		n, err := strconv.Atoi(v)
		if err != nil || n < low || n > high {
			return strconv.ErrRange
		}
		*p = n
		return nil
	}})
}

// Bool declares a Boolean setting.
func (s *Set) Bool(section, name string, p *bool, def bool, doc string) {
	*p = def
	s.add(key{section: section, name: name, def: strconv.FormatBool(def), want: "true or false", doc: doc, parse: func(v string) error {
		b, err := strconv.ParseBool(v)
		*p = b
		return err
	}})
}

// Choice declares a setting with a fixed list of values; the first is the default.
func (s *Set) Choice(section, name string, p *string, doc string, values ...string) {
	*p = values[0]
	s.add(key{section: section, name: name, def: values[0], want: "one of " + strings.Join(values, ", "), doc: doc, parse: func(v string) error {
		for _, w := range values {
			if v == w {
				*p = v
				return nil
			}
		}
		return strconv.ErrSyntax
	}})
}

// Secret marks the most recently declared setting as secret: errors never show its value.
func (s *Set) Secret() {
	s.keys[len(s.keys)-1].secret = true
}

// Load reads and validates file. It returns the first problem found as *Error.
func (s *Set) Load(file string) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return &Error{File: file, Want: "a readable file: " + err.Error()}
	}
	return s.Parse(file, data)
}

// Parse validates the contents of a settings file; file is used in errors only.
func (s *Set) Parse(file string, data []byte) error {
	f, err := ini.LoadSources(ini.LoadOptions{KeyValueDelimiters: "=", IgnoreInlineComment: true, SkipUnrecognizableLines: false}, data)
	if err != nil {
		return &Error{File: file, Want: "INI sections with lines of the form key = value: " + err.Error()}
	}
	if err := s.checkNames(file, f); err != nil {
		return err
	}
	for _, k := range s.keys {
		if err := k.load(file, f); err != nil {
			return err
		}
	}
	return nil
}

func (k key) load(file string, f *ini.File) error {
	sec, err := f.GetSection(k.section)
	found := err == nil && sec.HasKey(k.name)
	if !found && k.required() {
		return &Error{File: file, Section: k.section, Key: k.name, Want: k.want}
	}
	if !found {
		return nil
	}
	v := sec.Key(k.name).Value()
	if k.parse(v) == nil {
		return nil
	}
	if k.secret {
		v = "(hidden)"
	}
	return &Error{File: file, Section: k.section, Key: k.name, Got: v, Want: k.want}
}

// required reports whether the key must be present in the file: only typed keys
// without a default, since an empty string is a valid default for free text.
func (k key) required() bool {
	return k.def == "" && k.want != "text"
}

// checkNames rejects sections and keys that were not declared, so that a misspelt
// key is an error at start-up and its default is not used unnoticed.
func (s *Set) checkNames(file string, f *ini.File) error {
	for _, sec := range f.Sections() {
		for _, k := range sec.Keys() {
			if !s.declares(sec.Name(), k.Name()) {
				return &Error{File: file, Section: sec.Name(), Key: k.Name(), Got: "", Want: "a known key; see the settings reference"}
			}
		}
	}
	return nil
}

func (s *Set) declares(section, name string) bool {
	for _, k := range s.keys {
		if k.section == section && k.name == name {
			return true
		}
	}
	return false
}

// Reference writes the settings as a Markdown table.
func (s *Set) Reference(w io.Writer) error {
	if _, err := fmt.Fprintln(w, "| section | key | default | value | meaning |\n|---|---|---|---|---|"); err != nil {
		return err
	}
	for _, k := range s.keys {
		def := k.def
		if k.required() {
			def = "(required)"
		}
		if _, err := fmt.Fprintf(w, "| %s | %s | %s | %s | %s |\n", k.section, k.name, def, k.want, k.doc); err != nil {
			return err
		}
	}
	return nil
}
