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

// MaximumDocumentBytes is the maximum size of a document. A configuration has to fit into one log entry, and the store
// limits values to 1 MB.
const MaximumDocumentBytes = 512 << 10

// Document decodes a document and collects its errors.
type Document struct {
	name  string
	data  []byte
	lines map[string]int
	errs  FieldErrors
}

// NewDocument returns a document with the given content. The file name is only used in errors.
func NewDocument(name string, data []byte) *Document {
	return &Document{name: name, data: data, lines: map[string]int{"": 1}}
}

// Decode decodes the document into target, a pointer to a struct with the document's field names. Fields that the
// document does not set are left unchanged. Decode records errors for Err and returns false if the document cannot be
// parsed.
func (d *Document) Decode(target any) bool {
	if len(d.data) > MaximumDocumentBytes {
		d.AddError("", ErrValue, fmt.Sprintf("%d bytes", len(d.data)), fmt.Sprintf("at most %d bytes", MaximumDocumentBytes))
		return false
	}
	root, err := hujson.Parse(slices.Clone(d.data))
	if err != nil {
		d.lines[""] = syntaxLine(err.Error())
		d.AddError("", ErrSyntax, err.Error(), "")
		return false
	}
	d.decode(root, "", reflect.ValueOf(target).Elem())
	return true
}

// syntaxLine extracts the line number from an error message of hujson, such as "hujson: line 3, column 5: ...". hujson
// does not export the error's type.
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

// AddError records an error of a field. Its line is that of the field or of the innermost enclosing value that has a
// line.
func (d *Document) AddError(field string, class error, found, allowed string) {
	d.errs = append(d.errs, FieldError{
		File: d.name, Line: d.lineOf(field), Field: field, Class: class, Found: found, Allowed: allowed,
	})
}

// Check records an error of class ErrValue unless ok is true or the field already has an error.
func (d *Document) Check(ok bool, field, found, allowed string) {
	if ok || d.hasError(field) {
		return
	}
	d.AddError(field, ErrValue, found, allowed)
}

// Require records an error of class ErrMissingField unless the document sets the field.
func (d *Document) Require(field, allowed string) {
	if !d.Has(field) {
		d.AddError(field, ErrMissingField, "", allowed)
	}
}

// Err returns the recorded errors as FieldErrors, or nil if there are none.
func (d *Document) Err() error {
	if len(d.errs) == 0 {
		return nil
	}
	slices.SortStableFunc(d.errs, func(a, b FieldError) int { return cmp.Compare(a.Line, b.Line) })
	return d.errs
}

func (d *Document) hasError(field string) bool {
	return slices.ContainsFunc(d.errs, func(f FieldError) bool { return f.Field == field })
}

func (d *Document) lineOf(field string) int {
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
		d.AddError(path, ErrType, describeValue(v), "an object")
		return
	}
	if service, ok := target.Addr().Interface().(*Service); ok {
		*service = defaultService()
	}
	seen := map[string]bool{}
	for _, m := range object.Members {
		name := m.Name.Value.(hujson.Literal).String()
		field := joinPath(path, name)
		line := 1 + bytes.Count(d.data[:m.Name.StartOffset], []byte{'\n'})
		if seen[name] {
			d.errs = append(d.errs, FieldError{
				File: d.name, Line: line, Field: field, Class: ErrDuplicateField, Allowed: "each field once",
			})
			continue
		}
		seen[name] = true
		d.lines[field] = line
		f, known := target.Type().FieldByName(name)
		if !known || !f.IsExported() {
			d.AddError(field, ErrUnknownField, "", fieldNames(target.Type()))
			continue
		}
		d.decode(m.Value, field, target.FieldByIndex(f.Index))
	}
}

func joinPath(path, name string) string {
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
		d.AddError(path, ErrType, describeValue(v), "an array")
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
		d.AddError(path, ErrType, describeValue(v), "a string")
		return
	}
	if err := u.UnmarshalText([]byte(literal.String())); err != nil {
		d.AddError(path, ErrValue, strconv.Quote(literal.String()), "an IP address and port such as 127.0.0.1:7400")
	}
}

func (d *Document) decodeDuration(v hujson.Value, path string, target reflect.Value) {
	const allowed = `a duration such as "60s" or "250ms"`
	literal, ok := v.Value.(hujson.Literal)
	if !ok || literal.Kind() != '"' {
		d.AddError(path, ErrType, describeValue(v), allowed)
		return
	}
	n, err := time.ParseDuration(literal.String())
	if err != nil {
		d.AddError(path, ErrValue, strconv.Quote(literal.String()), allowed)
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
			d.AddError(path, ErrType, describeValue(v), "a string")
			return
		}
		target.SetString(literal.String())
	case target.Kind() == reflect.Bool:
		if kind != 't' && kind != 'f' {
			d.AddError(path, ErrType, describeValue(v), "true or false")
			return
		}
		target.SetBool(kind == 't')
	case target.CanInt():
		n, err := strconv.ParseInt(string(literal), 10, target.Type().Bits())
		if kind != '0' || err != nil {
			d.AddError(path, ErrType, describeValue(v), "an integer")
			return
		}
		target.SetInt(n)
	case target.CanUint():
		n, err := strconv.ParseUint(string(literal), 10, target.Type().Bits())
		if kind != '0' || err != nil {
			d.AddError(path, ErrType, describeValue(v), "a non-negative integer")
			return
		}
		target.SetUint(n)
	case target.CanFloat():
		n, err := strconv.ParseFloat(string(literal), 64)
		if kind != '0' || err != nil || math.IsInf(n, 0) {
			d.AddError(path, ErrType, describeValue(v), "a number")
			return
		}
		target.SetFloat(n)
	}
}

// describeValue describes a value for error messages. It does not quote strings, because they may be secrets.
func describeValue(v hujson.Value) string {
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
