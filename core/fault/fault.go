// Package fault creates typed errors that carry a remedy for the operator or caller.
package fault

import "github.com/joomcode/errorx"

var (
	namespace = errorx.NewNamespace("briarproxy")

	// Invalid is input that must be corrected before it can be accepted.
	Invalid = namespace.NewType("invalid")
	// Conflict is a change that is based on an outdated version or state.
	Conflict = namespace.NewType("conflict")
	// Unavailable is a dependency that is currently unreachable; a retry may succeed.
	Unavailable = namespace.NewType("unavailable", errorx.Temporary())
	// Unknown is an operation whose outcome could not be determined.
	Unknown = namespace.NewType("unknown")
	// Refused is a request that was not executed and will not be executed later.
	Refused = namespace.NewType("refused")
	// NotOwner is a call to a daemon that does not own the resource that the call concerns.
	NotOwner = namespace.NewType("not_owner")
	// Internal is a violated invariant, which indicates a bug.
	Internal = namespace.NewType("internal")

	remedyProperty = errorx.RegisterPrintableProperty("remedy")
)

// New returns an error of the given kind. The remedy tells the reader what to do about it.
func New(kind *errorx.Type, remedy, format string, args ...any) error {
	return kind.New(format, args...).WithProperty(remedyProperty, remedy)
}

// Wrap returns an error of the given kind that wraps a cause.
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
