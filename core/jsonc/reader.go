package jsonc

import (
	"encoding/json"
	"fmt"
	"sort"
	"strings"

	"github.com/tailscale/hujson"
)

const (
	// MaxDocumentBytes is the size limit of a document.
	MaxDocumentBytes = 8 << 20
	// MaxDepth limits the nesting of objects and lists. The parser recurses once per
	// level, so unbounded nesting could overflow the stack.
	MaxDepth = 64
)

// Rule identifies the check that an issue violates.
type Rule string

// These rules are checked by the reader itself.
const (
	RuleSyntax        Rule = "syntax"
	RuleUnknownField  Rule = "unknown-field"
	RuleRepeatedField Rule = "repeated-field"
	RuleMissingField  Rule = "missing-field"
	RuleWrongType     Rule = "wrong-type"
	RuleWrongUnit     Rule = "wrong-unit"
	RuleOutOfRange    Rule = "out-of-range"
	RuleUnknownValue  Rule = "unknown-value"
)

// Issue is one violation of a rule in a document.
type Issue struct {
	Line    int    // Lines are numbered from 1.
	Path    string // Path is the field path, "" for the whole document.
	Rule    Rule
	Message string
	Remedy  string
}

// Node is a JSON value with its field path and line in the document.
type Node struct {
	Path  string
	Line  int
	value *hujson.Value
}

// Reader decodes one document and collects its issues.
type Reader struct {
	Issues     []Issue
	lineStarts []int          // lineStarts holds the byte offset at which each line starts.
	pathLines  map[string]int // pathLines holds the line of each field path that was read.
}

// Field describes one member of a JSON object. Read decodes its value.
type Field struct {
	Name     string
	Required bool
	Read     func(r *Reader, n Node)
}

// Parse parses a document. ok is false if the document is too large, nested too
// deeply, or not JSON with comments; the reader then holds the issue.
func Parse(src []byte) (r *Reader, root Node, ok bool) {
	r = &Reader{lineStarts: []int{0}, pathLines: map[string]int{}}
	for i, b := range src {
		if b == '\n' {
			r.lineStarts = append(r.lineStarts, i+1)
		}
	}
	root = Node{Line: 1}
	if len(src) > MaxDocumentBytes {
		r.AddIssue(root, RuleSyntax, "split the document", "the document has %d bytes; at most %d are read", len(src), MaxDocumentBytes)
		return r, root, false
	}
	if offset, exceeded := findExcessDepth(src); exceeded {
		root.Line = r.lineOfOffset(offset)
		r.AddIssue(root, RuleSyntax, "nest fewer objects and lists", "nesting is deeper than %d levels", MaxDepth)
		return r, root, false
	}
	value, err := hujson.Parse(src)
	if err != nil {
		root.Line = lineOfError(err)
		r.AddIssue(root, RuleSyntax, "write JSON; // and /* */ comments and trailing commas are allowed", "%v", err)
		return r, root, false
	}
	return r, r.newNode(&value, ""), true
}

// lineOfError extracts the line number from the text of a hujson syntax error. It
// returns 1 if the text has none.
func lineOfError(err error) int {
	line := 1
	if _, rest, found := strings.Cut(err.Error(), "line "); found {
		_, _ = fmt.Sscanf(rest, "%d", &line)
	}
	return line
}

// findExcessDepth returns the offset of the first opening bracket that exceeds
// MaxDepth. Brackets within strings and comments do not count.
func findExcessDepth(src []byte) (offset int, exceeded bool) {
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
	opening := string(src[i:min(i+2, len(src))])
	closing := ""
	switch opening {
	case "//":
		closing = "\n"
	case "/*":
		closing = "*/"
	default:
		return i
	}
	closingIndex := strings.Index(string(src[i+2:]), closing)
	if closingIndex < 0 {
		return len(src)
	}
	return i + 2 + closingIndex + len(closing) - 1
}

func (r *Reader) lineOfOffset(offset int) int {
	return sort.SearchInts(r.lineStarts, offset+1)
}

func (r *Reader) newNode(value *hujson.Value, path string) Node {
	n := Node{Path: path, Line: r.lineOfOffset(value.StartOffset), value: value}
	r.pathLines[path] = n.Line
	return n
}

// Line returns the line of a field path. If the document does not have the path, it
// returns the line of the nearest enclosing value.
func (r *Reader) Line(path string) int {
	for {
		if line, found := r.pathLines[path]; found {
			return line
		}
		cut := strings.LastIndexAny(path, ".[")
		if cut < 0 {
			return max(r.pathLines[""], 1)
		}
		path = path[:cut]
	}
}

// HasPath reports whether the document has a field path.
func (r *Reader) HasPath(path string) bool {
	_, found := r.pathLines[path]
	return found
}

// MemberNames returns the names of an object's members in document order, or nil if
// the node is not an object.
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

// AddIssue records an issue at a node.
func (r *Reader) AddIssue(n Node, rule Rule, remedy, format string, args ...any) {
	r.Issues = append(r.Issues, Issue{
		Line: n.Line, Path: n.Path, Rule: rule, Message: fmt.Sprintf(format, args...), Remedy: remedy,
	})
}

// IsList reports whether the node is a JSON array.
func (n Node) IsList() bool { return n.value.Value.Kind() == '[' }

// IsEmptyString reports whether the node is the string "".
func (n Node) IsEmptyString() bool {
	literal, ok := n.value.Value.(hujson.Literal)
	return ok && literal.Kind() == '"' && literal.String() == ""
}

// typeName returns the JSON type of the node with an article, for use in messages.
func (n Node) typeName() string {
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

func (r *Reader) addWrongType(n Node, want, remedy string) {
	r.AddIssue(n, RuleWrongType, remedy, "is %s, not %s", n.typeName(), want)
}

// Join appends a member name to a field path.
func Join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// ReadMembers calls read for each member of a JSON object in document order. A
// repeated member is an issue and is not passed to read. ReadMembers returns false
// if the node is not an object.
func (r *Reader) ReadMembers(n Node, read func(name string, n Node)) bool {
	object, ok := n.value.Value.(*hujson.Object)
	if !ok {
		r.addWrongType(n, "an object", "write {...}")
		return false
	}
	seen := map[string]int{}
	for i := range object.Members {
		name := object.Members[i].Name.Value.(hujson.Literal).String()
		member := Node{
			Path:  Join(n.Path, name),
			Line:  r.lineOfOffset(object.Members[i].Name.StartOffset),
			value: &object.Members[i].Value,
		}
		if first, repeated := seen[name]; repeated {
			r.AddIssue(member, RuleRepeatedField, "keep one of them", "is set twice, first on line %d", first)
			continue
		}
		seen[name] = member.Line
		r.pathLines[member.Path] = member.Line
		read(name, member)
	}
	return true
}

// ReadObject reads the members that the fields describe. Unknown members, repeated
// members and missing required members are issues. ReadObject returns false if the
// node is not an object.
func (r *Reader) ReadObject(n Node, fields []Field) bool {
	byName := map[string]Field{}
	names := make([]string, 0, len(fields))
	for _, f := range fields {
		byName[f.Name] = f
		names = append(names, f.Name)
	}
	present := map[string]bool{}
	ok := r.ReadMembers(n, func(name string, member Node) {
		field, known := byName[name]
		if !known {
			r.AddIssue(member, RuleUnknownField, Suggest(name, names), "is not a known field")
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
			r.AddIssue(missing, RuleMissingField, fmt.Sprintf("add %q", f.Name), "is required")
		}
	}
	return true
}

// ReadElements calls read for each element of a list. It returns false if the node
// is not a list.
func (r *Reader) ReadElements(n Node, read func(i int, n Node)) bool {
	array, ok := n.value.Value.(*hujson.Array)
	if !ok {
		r.addWrongType(n, "a list", "write [...]")
		return false
	}
	for i := range array.Elements {
		read(i, r.newNode(&array.Elements[i], fmt.Sprintf("%s[%d]", n.Path, i)))
	}
	return true
}

// readLiteral decodes a literal whose JSON type is one of kinds, as hujson names them:
// '"' for a string, '0' for a number, 't' or 'f' for a boolean.
func (r *Reader) readLiteral(n Node, kinds, want, remedy string, dst any) bool {
	literal, ok := n.value.Value.(hujson.Literal)
	if !ok || !strings.ContainsRune(kinds, rune(literal.Kind())) {
		r.addWrongType(n, want, remedy)
		return false
	}
	if err := json.Unmarshal(literal, dst); err != nil {
		r.AddIssue(n, RuleWrongType, remedy, "%s is not %s", literal, want)
		return false
	}
	return true
}
