// Package fault builds typed errors whose messages name the remedy.
package fault

import "github.com/joomcode/errorx"

var (
	namespace = errorx.NewNamespace("briarproxy")

	// Invalid is input that must be changed before it can be accepted.
	Invalid = namespace.NewType("invalid")
	// Conflict is a change made from a version that is not the newest.
	Conflict = namespace.NewType("conflict")
	// Unavailable is a dependency that can't be reached now; a retry can succeed.
	Unavailable = namespace.NewType("unavailable", errorx.Temporary())
	// Unknown is an operation whose effect could not be determined.
	Unknown = namespace.NewType("unknown")
	// Refused is a request that was not carried out and never will be.
	Refused = namespace.NewType("refused")
	// NotOwner is a call to a daemon that does not own the unit concerned.
	NotOwner = namespace.NewType("not_owner")
	// Internal is a broken invariant.
	Internal = namespace.NewType("internal")

	remedyProperty = errorx.RegisterPrintableProperty("remedy")
)

// New returns an error of the given kind. The remedy says what the reader can do.
func New(kind *errorx.Type, remedy, format string, args ...any) error {
	return kind.New(format, args...).WithProperty(remedyProperty, remedy)
}

// Wrap returns an error of the given kind with a cause.
func Wrap(cause error, kind *errorx.Type, remedy, format string, args ...any) error {
	return kind.Wrap(cause, format, args...).WithProperty(remedyProperty, remedy)
}

// Remedy returns the remedy of the error, or "" if it has none.
func Remedy(err error) string {
	value, ok := errorx.ExtractProperty(err, remedyProperty)
	if !ok {
		return ""
	}
	text, _ := value.(string)
	return text
}

// Is reports whether the error is of the given kind.
func Is(err error, kind *errorx.Type) bool { return errorx.IsOfType(err, kind) }
