package sequoiasettings

import (
	"bytes"
	"cmp"
	"encoding"
	"fmt"
	"math"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/tailscale/hujson"
)

// MaximumDocumentBytes bounds a document. A configuration is part of one log entry, and the store's values end at
// 1 MB.
const MaximumDocumentBytes = 512 << 10

// Document is a parsed document that collects its faults.
type Document struct {
	name   string
	data   []byte
	lines  map[string]int
	faults Faults
}

// NewDocument returns a document with the file's name, which only faults use.
func NewDocument(name string, data []byte) *Document {
	return &Document{name: name, data: data, lines: map[string]int{"": 1}}
}

// Decode fills target, a pointer to a struct whose field names are the document's, and leaves fields that the document
// does not have unchanged. Faults are kept for Err; it returns false if the document could not be parsed at all.
func (d *Document) Decode(target any) bool {
	if len(d.data) > MaximumDocumentBytes {
		d.Fault("", ErrValue, fmt.Sprintf("%d bytes", len(d.data)), fmt.Sprintf("at most %d bytes", MaximumDocumentBytes))
		return false
	}
	root, err := hujson.Parse(slices.Clone(d.data))
	if err != nil {
		d.lines[""] = syntaxLine(err.Error())
		d.Fault("", ErrSyntax, err.Error(), "")
		return false
	}
	d.decode(root, "", reflect.ValueOf(target).Elem())
	return true
}

// syntaxLine takes the line from hujson's message, "hujson: line 3, column 5: ...". Its error type is not exported.
func syntaxLine(message string) int {
	_, rest, _ := strings.Cut(message, "line ")
	digits, _, _ := strings.Cut(rest, ",")
	n, err := strconv.Atoi(digits)
	if err != nil {
		return 1
	}
	return n
}

// Has reports whether the document sets the field.
func (d *Document) Has(field string) bool {
	_, ok := d.lines[field]
	return ok
}

// Fault records a fault of a field. The line is that of the field or of the closest object around it.
func (d *Document) Fault(field string, class error, found, allowed string) {
	d.faults = append(d.faults, Fault{
		File: d.name, Line: d.line(field), Field: field, Class: class, Found: found, Allowed: allowed,
	})
}

// Check records a fault of class ErrValue unless ok is true. A field that already has a fault gets no second one.
func (d *Document) Check(ok bool, field, found, allowed string) {
	if ok || d.faulty(field) {
		return
	}
	d.Fault(field, ErrValue, found, allowed)
}

// Require records a fault unless the document sets the field.
func (d *Document) Require(field, allowed string) {
	if !d.Has(field) {
		d.Fault(field, ErrMissingField, "", allowed)
	}
}

// Err returns the Faults, or nil if there are none.
func (d *Document) Err() error {
	if len(d.faults) == 0 {
		return nil
	}
	slices.SortStableFunc(d.faults, func(a, b Fault) int { return cmp.Compare(a.Line, b.Line) })
	return d.faults
}

func (d *Document) faulty(field string) bool {
	return slices.ContainsFunc(d.faults, func(f Fault) bool { return f.Field == field })
}

func (d *Document) line(field string) int {
	for {
		if n, ok := d.lines[field]; ok {
			return n
		}
		field = field[:max(0, strings.LastIndexAny(field, ".["))]
	}
}

func (d *Document) decode(v hujson.Value, path string, target reflect.Value) {
	if u, ok := target.Addr().Interface().(encoding.TextUnmarshaler); ok {
		d.decodeText(v, path, u)
		return
	}
	if target.Type() == reflect.TypeFor[time.Duration]() {
		d.decodeDuration(v, path, target)
		return
	}
	switch target.Kind() {
	case reflect.Struct:
		d.decodeStruct(v, path, target)
	case reflect.Slice:
		d.decodeSlice(v, path, target)
	default:
		d.decodeLiteral(v, path, target)
	}
}

func (d *Document) decodeStruct(v hujson.Value, path string, target reflect.Value) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		d.Fault(path, ErrType, kindName(v), "an object")
		return
	}
	if service, ok := target.Addr().Interface().(*Service); ok {
		*service = defaultService()
	}
	seen := map[string]bool{}
	for _, m := range object.Members {
		name := m.Name.Value.(hujson.Literal).String()
		field := join(path, name)
		line := 1 + bytes.Count(d.data[:m.Name.StartOffset], []byte{'\n'})
		if seen[name] {
			d.faults = append(d.faults, Fault{
				File: d.name, Line: line, Field: field, Class: ErrDuplicateField, Allowed: "each field once",
			})
			continue
		}
		seen[name] = true
		d.lines[field] = line
		f, known := target.Type().FieldByName(name)
		if !known || !f.IsExported() {
			d.Fault(field, ErrUnknownField, "", fieldNames(target.Type()))
			continue
		}
		d.decode(m.Value, field, target.FieldByIndex(f.Index))
	}
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func fieldNames(t reflect.Type) string {
	var names []string
	for f := range t.Fields() {
		if f.IsExported() {
			names = append(names, f.Name)
		}
	}
	return strings.Join(names, ", ")
}

func (d *Document) decodeSlice(v hujson.Value, path string, target reflect.Value) {
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		d.Fault(path, ErrType, kindName(v), "an array")
		return
	}
	s := reflect.MakeSlice(target.Type(), len(array.Elements), len(array.Elements))
	for i, e := range array.Elements {
		element := fmt.Sprintf("%s[%d]", path, i)
		d.lines[element] = 1 + bytes.Count(d.data[:e.StartOffset], []byte{'\n'})
		d.decode(e, element, s.Index(i))
	}
	target.Set(s)
}

func (d *Document) decodeText(v hujson.Value, path string, u encoding.TextUnmarshaler) {
	literal, ok := v.Value.(hujson.Literal)
	if !ok || literal.Kind() != '"' {
		d.Fault(path, ErrType, kindName(v), "a string")
		return
	}
	if err := u.UnmarshalText([]byte(literal.String())); err != nil {
		d.Fault(path, ErrValue, strconv.Quote(literal.String()), "an IP address and port such as 127.0.0.1:7400")
	}
}

func (d *Document) decodeDuration(v hujson.Value, path string, target reflect.Value) {
	const allowed = `a duration such as "60s" or "250ms"`
	literal, ok := v.Value.(hujson.Literal)
	if !ok || literal.Kind() != '"' {
		d.Fault(path, ErrType, kindName(v), allowed)
		return
	}
	n, err := time.ParseDuration(literal.String())
	if err != nil {
		d.Fault(path, ErrValue, strconv.Quote(literal.String()), allowed)
		return
	}
	target.SetInt(int64(n))
}

func (d *Document) decodeLiteral(v hujson.Value, path string, target reflect.Value) {
	literal, _ := v.Value.(hujson.Literal)
	kind := v.Value.Kind()
	switch {
	case target.Kind() == reflect.String:
		if kind != '"' {
			d.Fault(path, ErrType, kindName(v), "a string")
			return
		}
		target.SetString(literal.String())
	case target.Kind() == reflect.Bool:
		if kind != 't' && kind != 'f' {
			d.Fault(path, ErrType, kindName(v), "true or false")
			return
		}
		target.SetBool(kind == 't')
	case target.CanInt():
		n, err := strconv.ParseInt(string(literal), 10, target.Type().Bits())
		if kind != '0' || err != nil {
			d.Fault(path, ErrType, kindName(v), "an integer")
			return
		}
		target.SetInt(n)
	case target.CanUint():
		n, err := strconv.ParseUint(string(literal), 10, target.Type().Bits())
		if kind != '0' || err != nil {
			d.Fault(path, ErrType, kindName(v), "an integer that is not negative")
			return
		}
		target.SetUint(n)
	case target.CanFloat():
		n, err := strconv.ParseFloat(string(literal), 64)
		if kind != '0' || err != nil || math.IsInf(n, 0) {
			d.Fault(path, ErrType, kindName(v), "a number")
			return
		}
		target.SetFloat(n)
	}
}

// kindName describes a value without quoting strings, which may be secrets.
func kindName(v hujson.Value) string {
	switch v.Value.Kind() {
	case '{':
		return "an object"
	case '[':
		return "an array"
	case '"':
		return "a string"
	case '0':
		return string(v.Value.(hujson.Literal))
	case 'n':
		return "null"
	}
	return "true or false"
}
