// Package jsonc reads JSON with comments into typed fields. It reports all issues
// of a document at once, each with its line, field path and remedy. Configuration
// objects and daemon settings are read with it.
package jsonc
