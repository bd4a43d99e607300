// Package jsonc reads JSON with comments into typed fields. It reports every issue
// of a document at once, each with its line, field path and remedy. Objects and
// settings are both read with it.
package jsonc
