// Package sequoiasettings reads the settings of one process and the configuration documents that operators apply. Both
// are JSON with comments. Validation does not stop at the first error: each error is reported with its file, line,
// field and the values that are allowed there. The package does no I/O.
package sequoiasettings

import (
	"fmt"
	"strings"

	"github.com/pkg/errors"
)

// Classes of errors. FieldError and FieldErrors match their classes with errors.Is.
var (
	// ErrSyntax reports a document that is not JSON with comments.
	ErrSyntax = errors.New("not valid JSON with comments")
	// ErrUnknownField reports a field that the document's format does not define.
	ErrUnknownField = errors.New("unknown field")
	// ErrDuplicateField reports a field that appears more than once in an object.
	ErrDuplicateField = errors.New("duplicate field")
	// ErrMissingField reports that a field without a default is missing.
	ErrMissingField = errors.New("missing field")
	// ErrType reports a value whose type is not the field's.
	ErrType = errors.New("wrong type")
	// ErrValue reports a value that is not among the allowed values.
	ErrValue = errors.New("value not allowed")
	// ErrConflict reports fields that are valid individually but not together.
	ErrConflict = errors.New("conflicting fields")
)

// FieldError is one error in a document.
type FieldError struct {
	File string
	// Line is the line number, starting at 1.
	Line int
	// Field is the path of the field, for example Services[0].Shards. It is empty for the document as a whole.
	Field string
	// Class is one of the sentinel errors of this package.
	Class error
	// Found describes the value that was found. It is empty if the value is unknown or secret.
	Found string
	// Allowed describes the allowed values.
	Allowed string
}

// Error formats the error on one line.
func (f FieldError) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s:%d: ", f.File, f.Line)
	if f.Field != "" {
		fmt.Fprintf(&b, "%s: ", f.Field)
	}
	b.WriteString(f.Class.Error())
	if f.Found != "" {
		fmt.Fprintf(&b, ": %s", f.Found)
	}
	if f.Allowed != "" {
		fmt.Fprintf(&b, "; allowed: %s", f.Allowed)
	}
	return b.String()
}

// Unwrap returns the class of the error.
func (f FieldError) Unwrap() error {
	return f.Class
}

// FieldErrors holds all errors in a document, ordered by line.
type FieldErrors []FieldError

// Error returns one line per error.
func (f FieldErrors) Error() string {
	lines := make([]string, len(f))
	for i := range f {
		lines[i] = f[i].Error()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the individual errors, so that errors.Is matches the class of each.
func (f FieldErrors) Unwrap() []error {
	errs := make([]error, len(f))
	for i := range f {
		errs[i] = f[i]
	}
	return errs
}
