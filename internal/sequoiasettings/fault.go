// Package sequoiasettings reads the settings of one process and the configuration documents that operators apply. Both
// are JSON with comments. A document is checked as a whole: every fault is reported with its file, line, field and the
// values that are allowed there. The package does no input or output.
package sequoiasettings

import (
	"fmt"
	"strings"

	"github.com/pkg/errors"
)

// Classes of faults. A Fault and the Faults that contain it match their classes with errors.Is.
var (
	// ErrSyntax reports a document that is not JSON with comments.
	ErrSyntax = errors.New("not valid JSON with comments")
	// ErrUnknownField reports a field that the document's format does not have.
	ErrUnknownField = errors.New("unknown field")
	// ErrDuplicateField reports a field that one object has twice.
	ErrDuplicateField = errors.New("duplicate field")
	// ErrMissingField reports the absence of a field that has no default.
	ErrMissingField = errors.New("missing field")
	// ErrType reports a value of another type than the field's.
	ErrType = errors.New("wrong type")
	// ErrValue reports a value outside the allowed ones.
	ErrValue = errors.New("value not allowed")
	// ErrConflict reports fields that are each allowed but exclude each other.
	ErrConflict = errors.New("conflicting fields")
)

// Fault is one fault of a document.
type Fault struct {
	File string
	// Line counts from 1.
	Line int
	// Field is the path of the field, for example Services[0].Shards; empty for the document itself.
	Field string
	// Class is one of the sentinel errors of this package.
	Class error
	// Found describes the value that was found, empty if it is not known or secret.
	Found string
	// Allowed describes the allowed values.
	Allowed string
}

// Error returns the fault on one line.
func (f Fault) Error() string {
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

// Unwrap returns the class of the fault.
func (f Fault) Unwrap() error {
	return f.Class
}

// Faults are all faults of a document, in the order of their lines.
type Faults []Fault

// Error returns one line for each fault.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i := range f {
		lines[i] = f[i].Error()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the faults, so that errors.Is finds the class of each.
func (f Faults) Unwrap() []error {
	errs := make([]error, len(f))
	for i := range f {
		errs[i] = f[i]
	}
	return errs
}
