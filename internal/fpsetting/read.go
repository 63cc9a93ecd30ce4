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
	// Error is one error in a settings file.
	Error struct {
		File string
		Line int
		Key  string
		Text string
	}

	// ErrorList holds all errors in a settings file, ordered by line.
	ErrorList []Error

	parser struct {
		file        string
		lineNumbers map[string]int
		errs        ErrorList
	}
)

// Error returns the error as file:line: key: text.
func (e Error) Error() string {
	return fmt.Sprintf("%s:%d: %s: %s", e.File, e.Line, e.Key, e.Text)
}

// Error returns one line for each error.
func (l ErrorList) Error() string {
	var b strings.Builder
	for i, e := range l {
		if i > 0 {
			b.WriteByte('\n')
		}
		b.WriteString(e.Error())
	}
	return b.String()
}

// Read returns the settings in a file. Its error is an ErrorList if the file can be read.
func Read(file string) (Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, errors.Wrap(err, "settings")
	}
	return Parse(file, data)
}

// Parse returns the settings in data, or an ErrorList that names the file as given.
func Parse(file string, data []byte) (Settings, error) {
	var s Settings
	f, err := ini.LoadSources(ini.LoadOptions{IgnoreInlineComment: true}, data)
	if err != nil {
		return s, ErrorList{{File: file, Line: 1, Key: "file", Text: err.Error()}}
	}
	p := &parser{file: file, lineNumbers: lineNumbersByKey(data)}
	p.checkUnknownKeys(f)
	v := reflect.ValueOf(&s).Elem()
	for i := range v.NumField() {
		p.readSection(f, v.Type().Field(i).Name, v.Field(i))
	}
	if len(p.errs) > 0 {
		slices.SortStableFunc(p.errs, func(a, b Error) int { return a.Line - b.Line })
		return s, p.errs
	}
	return s, nil
}

// addError records an error at the line of the key or, if the key is not in the file, at the line
// of its section.
func (p *parser) addError(key, format string, args ...any) {
	line := p.lineNumbers[key]
	if line == 0 {
		line = p.lineNumbers[strings.SplitN(key, ".", 2)[0]]
	}
	p.errs = append(p.errs, Error{File: p.file, Line: max(line, 1), Key: key, Text: fmt.Sprintf(format, args...)})
}

// checkUnknownKeys records an error for each section and key that is not part of Settings.
func (p *parser) checkUnknownKeys(f *ini.File) {
	known := fieldNames(reflect.TypeFor[Settings]())
	for _, s := range f.Sections() {
		if s.Name() == ini.DefaultSection {
			for _, k := range s.Keys() {
				p.addError(k.Name(), "appears before the first section")
			}
			continue
		}
		if !slices.Contains(known, s.Name()) {
			p.addError(s.Name(), "unknown section; the nearest is %s", nearestName(s.Name(), known))
			continue
		}
		field, _ := reflect.TypeFor[Settings]().FieldByName(s.Name())
		keys := fieldNames(field.Type)
		for _, k := range s.Keys() {
			if !slices.Contains(keys, k.Name()) {
				p.addError(s.Name()+"."+k.Name(), "unknown key; the nearest is %s", nearestName(k.Name(), keys))
			}
		}
	}
}

// readSection sets the fields of one section, from the file or by their defaults.
func (p *parser) readSection(f *ini.File, name string, v reflect.Value) {
	for i := range v.NumField() {
		field := v.Type().Field(i)
		key := name + "." + field.Name
		text := f.Section(name).Key(field.Name).String()
		if text == "" {
			text = field.Tag.Get(tagDefault)
		}
		if text == "" {
			if field.Tag.Get(tagRequired) != "" {
				p.addError(key, "is required: %s", field.Tag.Get(tagDocument))
			}
			continue
		}
		p.setField(key, field, v.Field(i), text)
	}
}

// setField parses text by the type of the field.
func (p *parser) setField(key string, field reflect.StructField, v reflect.Value, text string) {
	switch v.Interface().(type) {
	case string:
		if _, err := netip.ParseAddrPort(text); field.Tag.Get(tagKind) == kindAddress && err != nil {
			p.addError(key, "%q is not an IP address and port, such as 127.0.0.1:8080", text)
			return
		}
		v.SetString(text)
	case time.Duration:
		d, err := time.ParseDuration(text)
		if err != nil || d < 0 {
			p.addError(key, "%q is not a duration, such as 1.5s or 3ms", text)
			return
		}
		v.SetInt(int64(d))
	case int:
		n, err := strconv.Atoi(text)
		if err != nil || n <= 0 {
			p.addError(key, "%q is not a positive integer", text)
			return
		}
		v.SetInt(int64(n))
	case float64:
		x, err := strconv.ParseFloat(text, 64)
		if err != nil || x < 0 {
			p.addError(key, "%q is not a non-negative number", text)
			return
		}
		v.SetFloat(x)
	case []string:
		for _, element := range strings.Split(text, ",") {
			v.Set(reflect.Append(v, reflect.ValueOf(strings.TrimSpace(element))))
		}
	}
}

// MarkdownReference returns the reference of all keys for docs/SETTINGS.md, in Markdown with a
// table for each section.
func MarkdownReference() string {
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

// fieldNames returns the names of a struct's fields.
func fieldNames(t reflect.Type) []string {
	out := make([]string, 0, t.NumField())
	for i := range t.NumField() {
		out = append(out, t.Field(i).Name)
	}
	return out
}

// lineNumbersByKey returns the line number of each section and of each key as Section.Key.
func lineNumbersByKey(data []byte) map[string]int {
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

// nearestName returns the candidate with the least edit distance, ignoring case.
func nearestName(name string, candidates []string) string {
	best, leastDistance := "", len(name)+64
	for _, c := range candidates {
		if d := editDistance(strings.ToLower(name), strings.ToLower(c)); d < leastDistance {
			best, leastDistance = c, d
		}
	}
	return best
}

// editDistance returns the Levenshtein distance of a and b.
func editDistance(a, b string) int {
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
