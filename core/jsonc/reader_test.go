package jsonc

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a depth check that counts brackets within strings or comments, and
// against one that misses brackets after escaped quotes or comments, so that the
// parser's stack overflows.
func TestDepthLimit(t *testing.T) {
	tooManyBrackets := strings.Repeat("[", MaxDepth+1)
	cases := []struct {
		text string
		ok   bool
	}{
		{strings.Repeat("[", MaxDepth) + strings.Repeat("]", MaxDepth), true},
		{tooManyBrackets + strings.Repeat("]", MaxDepth+1), false},
		{`["` + tooManyBrackets + `\""]`, true},
		{"[ // " + tooManyBrackets + "\n1]", true},
		{"[ /* " + tooManyBrackets + "*/ 1]", true},
		{`["\"", ` + tooManyBrackets, false},
		{"[ /**/ // x\n" + tooManyBrackets, false},
		{"[ /* " + tooManyBrackets, false}, // The parser refuses an unterminated comment.
		{"/" + tooManyBrackets, false},
		{"", false},
	}
	for _, c := range cases {
		r, _, ok := Parse([]byte(c.text))
		assert.Equal(t, c.ok, ok, c.text)
		assert.Equal(t, c.ok, len(r.Issues) == 0, c.text)
	}
	_, _, ok := Parse(make([]byte, MaxDocumentBytes+1))
	assert.False(t, ok)
}

// Guards against values that are read with the wrong scale or silently rounded.
func TestUnits(t *testing.T) {
	var cores, memory, size int64
	var duration time.Duration
	fields := []Field{
		{Name: "c", Read: Cores(&cores)}, {Name: "m", Read: Memory(&memory)},
		{Name: "b", Read: Bytes(&size, 0, 1<<50)}, {Name: "d", Read: Duration(&duration, 0, time.Hour)},
	}
	cases := []struct {
		text string
		want string // want is the millicores, MiB, bytes and duration, or the rule of the first issue.
	}{
		{`"c": "2", "m": "64GiB", "b": "64KiB", "d": "90s"`, "2000 65536 65536 1m30s"},
		{`"c": "1.5", "m": "1024KiB", "b": "3B", "d": "250ms"`, "1500 1 3 250ms"},
		{`"c": "500m", "m": "1TiB", "b": "0B", "d": "0s"`, "500 1048576 0 0s"},
		{`"c": "0.001"`, "1 0 0 0s"},
		{`"c": "1.5m"`, "wrong-unit"}, {`"c": "0.0005"`, "wrong-unit"}, {`"c": "-1"`, "wrong-unit"}, {`"c": "2 "`, "wrong-unit"},
		{`"c": 2`, "wrong-type"}, {`"m": "1GB"`, "wrong-unit"}, {`"m": "1.5GiB"`, "wrong-unit"}, {`"m": "1KiB"`, "wrong-unit"},
		{`"m": "64"`, "wrong-unit"}, {`"m": "999999999999999TiB"`, "out-of-range"}, {`"d": "90"`, "wrong-unit"}, {`"d": "2h"`, "out-of-range"},
		{`"d": "-1s"`, "out-of-range"}, {`"d": 90`, "wrong-type"}, {`"d": null`, "wrong-type"},
	}
	for _, c := range cases {
		cores, memory, size, duration = 0, 0, 0, 0
		r, root, ok := Parse([]byte("{" + c.text + "}"))
		require.True(t, ok)
		r.ReadObject(root, fields)
		got := fmt.Sprint(cores, memory, size, duration)
		if len(r.Issues) > 0 {
			got = string(r.Issues[0].Rule)
		}
		assert.Equal(t, c.want, got, c.text)
	}
}

// Guards against remedies that suggest an unrelated field.
func TestSuggest(t *testing.T) {
	known := []string{"deadline", "durable", "pool"}
	assert.Equal(t, `did you mean "deadline"?`, Suggest("dead_line", known))
	assert.Equal(t, `did you mean "pool"?`, Suggest("pol", known))
	assert.Equal(t, "use one of: deadline, durable, pool", Suggest("weight", known))
	assert.Equal(t, "use one of: deadline, durable, pool", Suggest(strings.Repeat("x", 1000), known))
}
