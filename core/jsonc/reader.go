package jsonc

import (
	"encoding/json"
	"fmt"
	"sort"
	"strings"

	"github.com/tailscale/hujson"
)

const (
	// MaxBytes is the largest document that is read.
	MaxBytes = 8 << 20
	// MaxDepth is the deepest nesting that is read. The parser recurses once per
	// level, so that an unbounded depth could overflow the stack.
	MaxDepth = 64
)

// Rule names the check that an issue comes from.
type Rule string

// Rules that the reader itself checks.
const (
	RuleSyntax       Rule = "syntax"
	RuleUnknownField Rule = "unknown-field"
	RuleRepeated     Rule = "repeated-field"
	RuleMissing      Rule = "missing-field"
	RuleType         Rule = "wrong-type"
	RuleUnit         Rule = "wrong-unit"
	RuleRange        Rule = "out-of-range"
	RuleUnknownValue Rule = "unknown-value"
)

// Issue is one fault of a document.
type Issue struct {
	Line    int    // from 1
	Path    string // field path, "" for the document itself
	Rule    Rule
	Message string
	Remedy  string
}

// Node is one value of a document and its field path.
type Node struct {
	Path  string
	Line  int
	value *hujson.Value
}

// Reader collects the issues of one document.
type Reader struct {
	Issues []Issue
	starts []int          // offset of the first byte of each line
	lines  map[string]int // line of each field path that was read
}

// Field describes one member of a JSON object. Read is called with its value.
type Field struct {
	Name     string
	Required bool
	Read     func(r *Reader, n Node)
}

// Parse parses a document. ok is false when it is not JSON with comments; the
// reader then holds the issue.
func Parse(src []byte) (r *Reader, root Node, ok bool) {
	r = &Reader{starts: []int{0}, lines: map[string]int{}}
	for i, b := range src {
		if b == '\n' {
			r.starts = append(r.starts, i+1)
		}
	}
	root = Node{Line: 1}
	if len(src) > MaxBytes {
		r.Add(root, RuleSyntax, "split the document", "the document has %d bytes; at most %d are read", len(src), MaxBytes)
		return r, root, false
	}
	if offset, deep := tooDeep(src); deep {
		root.Line = r.lineOf(offset)
		r.Add(root, RuleSyntax, "nest fewer objects and lists", "nesting is deeper than %d levels", MaxDepth)
		return r, root, false
	}
	value, err := hujson.Parse(src)
	if err != nil {
		root.Line = lineOfError(err)
		r.Add(root, RuleSyntax, "write JSON; // and /* */ comments and trailing commas are allowed", "%v", err)
		return r, root, false
	}
	return r, r.node(&value, ""), true
}

// lineOfError returns the line that a syntax error of hujson names.
func lineOfError(err error) int {
	line := 1
	if _, rest, found := strings.Cut(err.Error(), "line "); found {
		_, _ = fmt.Sscanf(rest, "%d", &line)
	}
	return line
}

// tooDeep finds the first bracket that exceeds MaxDepth.
func tooDeep(src []byte) (offset int, deep bool) {
	depth := 0
	for i := 0; i < len(src); i++ {
		switch src[i] {
		case '"':
			i = skipString(src, i)
		case '/':
			i = skipComment(src, i)
		case '{', '[':
			depth++
			if depth > MaxDepth {
				return i, true
			}
		case '}', ']':
			depth--
		}
	}
	return 0, false
}

// skipString returns the offset of the closing quote of the string at i.
func skipString(src []byte, i int) int {
	for i++; i < len(src) && src[i] != '"'; i++ {
		if src[i] == '\\' {
			i++
		}
	}
	return i
}

// skipComment returns the offset of the last byte of the comment at i.
func skipComment(src []byte, i int) int {
	rest := string(src[i:min(i+2, len(src))])
	end := ""
	switch rest {
	case "//":
		end = "\n"
	case "/*":
		end = "*/"
	default:
		return i
	}
	at := strings.Index(string(src[i+2:]), end)
	if at < 0 {
		return len(src)
	}
	return i + 2 + at + len(end) - 1
}

func (r *Reader) lineOf(offset int) int {
	return sort.SearchInts(r.starts, offset+1)
}

func (r *Reader) node(value *hujson.Value, path string) Node {
	n := Node{Path: path, Line: r.lineOf(value.StartOffset), value: value}
	r.lines[path] = n.Line
	return n
}

// Line returns the line of a field path, or of the nearest enclosing value that
// is in the document.
func (r *Reader) Line(path string) int {
	for {
		if line, found := r.lines[path]; found {
			return line
		}
		cut := strings.LastIndexAny(path, ".[")
		if cut < 0 {
			return max(r.lines[""], 1)
		}
		path = path[:cut]
	}
}

// Has reports whether a field path is in the document.
func (r *Reader) Has(path string) bool {
	_, found := r.lines[path]
	return found
}

// MemberNames returns the names of the node's members, none if it is no object.
func (n Node) MemberNames() []string {
	object, ok := n.value.Value.(*hujson.Object)
	if !ok {
		return nil
	}
	names := make([]string, 0, len(object.Members))
	for i := range object.Members {
		names = append(names, object.Members[i].Name.Value.(hujson.Literal).String())
	}
	return names
}

// Add records an issue at a node.
func (r *Reader) Add(n Node, rule Rule, remedy, format string, args ...any) {
	r.Issues = append(r.Issues, Issue{
		Line: n.Line, Path: n.Path, Rule: rule, Message: fmt.Sprintf(format, args...), Remedy: remedy,
	})
}

// IsList reports whether the node is a JSON array.
func (n Node) IsList() bool { return n.value.Value.Kind() == '[' }

// IsEmptyString reports whether the node is "".
func (n Node) IsEmptyString() bool {
	literal, ok := n.value.Value.(hujson.Literal)
	return ok && literal.Kind() == '"' && literal.String() == ""
}

// kindName returns the JSON type of the node for messages.
func (n Node) kindName() string {
	switch n.value.Value.Kind() {
	case '{':
		return "an object"
	case '[':
		return "a list"
	case '"':
		return "a string"
	case '0':
		return "a number"
	case 'n':
		return "null"
	}
	return "a boolean"
}

func (r *Reader) wrongType(n Node, want, remedy string) {
	r.Add(n, RuleType, remedy, "is %s, not %s", n.kindName(), want)
}

// Join appends a member name to a field path.
func Join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// Members calls read for each member of a JSON object, in order of the document,
// and reports members that occur twice.
func (r *Reader) Members(n Node, read func(name string, n Node)) bool {
	object, ok := n.value.Value.(*hujson.Object)
	if !ok {
		r.wrongType(n, "an object", "write {...}")
		return false
	}
	seen := map[string]int{}
	for i := range object.Members {
		name := object.Members[i].Name.Value.(hujson.Literal).String()
		member := Node{
			Path:  Join(n.Path, name),
			Line:  r.lineOf(object.Members[i].Name.StartOffset),
			value: &object.Members[i].Value,
		}
		if first, repeated := seen[name]; repeated {
			r.Add(member, RuleRepeated, "keep one of them", "is set twice, first on line %d", first)
			continue
		}
		seen[name] = member.Line
		r.lines[member.Path] = member.Line
		read(name, member)
	}
	return true
}

// Object reads the members that the fields describe. Other members, repeated ones
// and missing required ones are issues.
func (r *Reader) Object(n Node, fields []Field) bool {
	byName := map[string]Field{}
	names := make([]string, 0, len(fields))
	for _, f := range fields {
		byName[f.Name] = f
		names = append(names, f.Name)
	}
	present := map[string]bool{}
	ok := r.Members(n, func(name string, member Node) {
		field, known := byName[name]
		if !known {
			r.Add(member, RuleUnknownField, Suggest(name, names), "is not a known field")
			return
		}
		present[name] = true
		field.Read(r, member)
	})
	if !ok {
		return false
	}
	for _, f := range fields {
		if f.Required && !present[f.Name] {
			missing := Node{Path: Join(n.Path, f.Name), Line: n.Line}
			r.Add(missing, RuleMissing, fmt.Sprintf("add %q", f.Name), "is required")
		}
	}
	return true
}

// Elements calls read for each element of a list.
func (r *Reader) Elements(n Node, read func(i int, n Node)) bool {
	array, ok := n.value.Value.(*hujson.Array)
	if !ok {
		r.wrongType(n, "a list", "write [...]")
		return false
	}
	for i := range array.Elements {
		read(i, r.node(&array.Elements[i], fmt.Sprintf("%s[%d]", n.Path, i)))
	}
	return true
}

// literal decodes a literal of the wanted JSON type.
func (r *Reader) literal(n Node, kinds, want, remedy string, dst any) bool {
	literal, ok := n.value.Value.(hujson.Literal)
	if !ok || !strings.ContainsRune(kinds, rune(literal.Kind())) {
		r.wrongType(n, want, remedy)
		return false
	}
	if err := json.Unmarshal(literal, dst); err != nil {
		r.Add(n, RuleType, remedy, "%s is not %s", literal, want)
		return false
	}
	return true
}
