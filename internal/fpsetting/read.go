package fpsetting

import (
	"bufio"
	"bytes"
	"fmt"
	"net/netip"
	"os"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"gopkg.in/ini.v1"
)

const (
	tagDocument = "doc"
	tagDefault  = "default"
	tagKind     = "kind"
	tagRequired = "required"
	kindAddress = "address"
)

type (
	// Fault is one thing wrong with a settings file.
	Fault struct {
		File string
		Line int
		Key  string
		Text string
	}

	// Faults are all things wrong with a settings file.
	Faults []Fault

	reader struct {
		file   string
		lines  map[string]int
		faults Faults
	}
)

// Error returns the fault as file:line: key: text.
func (f Fault) Error() string {
	return fmt.Sprintf("%s:%d: %s: %s", f.File, f.Line, f.Key, f.Text)
}

// Error returns one line for each fault.
func (f Faults) Error() string {
	var b strings.Builder
	for i, v := range f {
		if i > 0 {
			b.WriteByte('\n')
		}
		b.WriteString(v.Error())
	}
	return b.String()
}

// Read returns the settings in a file, or Faults, or why it cannot be read.
func Read(file string) (Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, errors.Wrap(err, "settings")
	}
	return Parse(file, data)
}

// Parse returns the settings in data; file names it in faults.
func Parse(file string, data []byte) (Settings, error) {
	var s Settings
	f, err := ini.LoadSources(ini.LoadOptions{IgnoreInlineComment: true}, data)
	if err != nil {
		return s, Faults{{File: file, Line: 1, Key: "file", Text: err.Error()}}
	}
	r := &reader{file: file, lines: keyLines(data)}
	r.unknown(f)
	v := reflect.ValueOf(&s).Elem()
	for i := range v.NumField() {
		r.section(f, v.Type().Field(i).Name, v.Field(i))
	}
	if len(r.faults) > 0 {
		slices.SortStableFunc(r.faults, func(a, b Fault) int { return a.Line - b.Line })
		return s, r.faults
	}
	return s, nil
}

func (r *reader) fault(key, format string, args ...any) {
	line := r.lines[key]
	if line == 0 {
		line = r.lines[strings.SplitN(key, ".", 2)[0]]
	}
	r.faults = append(r.faults, Fault{File: r.file, Line: max(line, 1), Key: key, Text: fmt.Sprintf(format, args...)})
}

// unknown faults sections and keys that no setting has.
func (r *reader) unknown(f *ini.File) {
	known := names(reflect.TypeFor[Settings]())
	for _, s := range f.Sections() {
		if s.Name() == ini.DefaultSection {
			for _, k := range s.Keys() {
				r.fault(k.Name(), "stands before the first section")
			}
			continue
		}
		if !slices.Contains(known, s.Name()) {
			r.fault(s.Name(), "unknown section; the nearest is %s", nearest(s.Name(), known))
			continue
		}
		field, _ := reflect.TypeFor[Settings]().FieldByName(s.Name())
		keys := names(field.Type)
		for _, k := range s.Keys() {
			if !slices.Contains(keys, k.Name()) {
				r.fault(s.Name()+"."+k.Name(), "unknown key; the nearest is %s", nearest(k.Name(), keys))
			}
		}
	}
}

func (r *reader) section(f *ini.File, name string, v reflect.Value) {
	for i := range v.NumField() {
		field := v.Type().Field(i)
		key := name + "." + field.Name
		text := f.Section(name).Key(field.Name).String()
		if text == "" {
			text = field.Tag.Get(tagDefault)
		}
		if text == "" {
			if field.Tag.Get(tagRequired) != "" {
				r.fault(key, "is missing: %s", field.Tag.Get(tagDocument))
			}
			continue
		}
		r.set(key, field, v.Field(i), text)
	}
}

func (r *reader) set(key string, field reflect.StructField, v reflect.Value, text string) {
	switch v.Interface().(type) {
	case string:
		if _, err := netip.ParseAddrPort(text); field.Tag.Get(tagKind) == kindAddress && err != nil {
			r.fault(key, "%q is not an IP number and port, such as 127.0.0.1:8080", text)
			return
		}
		v.SetString(text)
	case time.Duration:
		d, err := time.ParseDuration(text)
		if err != nil || d < 0 {
			r.fault(key, "%q is not a duration, such as 1.5s or 3ms", text)
			return
		}
		v.SetInt(int64(d))
	case int:
		n, err := strconv.Atoi(text)
		if err != nil || n <= 0 {
			r.fault(key, "%q is not a whole number above zero", text)
			return
		}
		v.SetInt(int64(n))
	case float64:
		x, err := strconv.ParseFloat(text, 64)
		if err != nil || x < 0 {
			r.fault(key, "%q is not a number of at least zero", text)
			return
		}
		v.SetFloat(x)
	case []string:
		for _, p := range strings.Split(text, ",") {
			v.Set(reflect.Append(v, reflect.ValueOf(strings.TrimSpace(p))))
		}
	}
}

// Document returns a table of all keys for docs/SETTINGS.md.
func Document() string {
	var b strings.Builder
	t := reflect.TypeFor[Settings]()
	for i := range t.NumField() {
		section := t.Field(i)
		fmt.Fprintf(&b, "## [%s]\n\n| Key | Kind | Default | Meaning |\n| --- | --- | --- | --- |\n", section.Name)
		for j := range section.Type.NumField() {
			f := section.Type.Field(j)
			def := f.Tag.Get(tagDefault)
			if f.Tag.Get(tagRequired) != "" {
				def = "(required)"
			}
			fmt.Fprintf(&b, "| %s | %s | %s | %s |\n", f.Name, kindName(f), def, f.Tag.Get(tagDocument))
		}
		b.WriteByte('\n')
	}
	return b.String()
}

func kindName(f reflect.StructField) string {
	if k := f.Tag.Get(tagKind); k != "" {
		return k
	}
	switch f.Type {
	case reflect.TypeFor[time.Duration]():
		return "duration"
	case reflect.TypeFor[[]string]():
		return "list"
	case reflect.TypeFor[string]():
		return "text"
	default:
		return "number"
	}
}

func names(t reflect.Type) []string {
	out := make([]string, 0, t.NumField())
	for i := range t.NumField() {
		out = append(out, t.Field(i).Name)
	}
	return out
}

// keyLines returns the line on which each section and Section.Key stands.
func keyLines(data []byte) map[string]int {
	lines := make(map[string]int)
	section := ""
	s := bufio.NewScanner(bytes.NewReader(data))
	for n := 1; s.Scan(); n++ {
		text := strings.TrimSpace(s.Text())
		if strings.HasPrefix(text, "[") && strings.HasSuffix(text, "]") {
			section = text[1 : len(text)-1]
			lines[section] = n
			continue
		}
		key, _, found := strings.Cut(text, "=")
		if found && section != "" {
			lines[section+"."+strings.TrimSpace(key)] = n
		}
	}
	return lines
}

// nearest returns the candidate with the least edit distance.
func nearest(name string, candidates []string) string {
	best, least := "", len(name)+64
	for _, c := range candidates {
		if d := distance(strings.ToLower(name), strings.ToLower(c)); d < least {
			best, least = c, d
		}
	}
	return best
}

// distance returns the Levenshtein distance of a and b.
func distance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := 1; i <= len(a); i++ {
		diagonal := row[0]
		row[0] = i
		for j := 1; j <= len(b); j++ {
			cost := 1
			if a[i-1] == b[j-1] {
				cost = 0
			}
			next := min(row[j]+1, row[j-1]+1, diagonal+cost)
			diagonal, row[j] = row[j], next
		}
	}
	return row[len(b)]
}
