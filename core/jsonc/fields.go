package jsonc

import (
	"fmt"
	"math"
	"regexp"
	"strconv"
	"strings"
	"time"
)

// ReadFunc decodes the value of a field and reports its issues to the reader.
type ReadFunc = func(r *Reader, n Node)

const (
	milliCoresPerCore  = 1000
	bytesPerMiB        = 1 << 20
	remedyCores        = `write cores as a string such as "2" or "500m" (thousandths)`
	remedyMemory       = `write memory as a string such as "64GiB" or "512MiB"`
	remedyBytes        = `write a size as a string such as "512B", "64KiB" or "1MiB"`
	remedyDuration     = `write a duration as a string such as "90s", "5m" or "250ms"`
	maxSizeBytes       = 1 << 60
	maxSuggestionEdits = 3
)

var (
	namePattern  = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)
	corePattern  = regexp.MustCompile(`^([0-9]{1,9})(\.[0-9]{1,3})?(m?)$`)
	sizePattern  = regexp.MustCompile(`^([0-9]{1,15})(B|KiB|MiB|GiB|TiB)$`)
	bytesPerUnit = map[string]int64{"B": 1, "KiB": 1 << 10, "MiB": 1 << 20, "GiB": 1 << 30, "TiB": 1 << 40}
	remedyName   = "use 1 to 63 characters from a-z, 0-9 and -, not starting with -"
)

// String reads a string without further checks.
func String(dst *string) ReadFunc {
	return func(r *Reader, n Node) { r.readLiteral(n, `"`, "a string", "write a string", dst) }
}

// Name reads the name of an object, a location or a list element.
func Name(dst *string) ReadFunc {
	return func(r *Reader, n Node) {
		if !r.readLiteral(n, `"`, "a name", "write a string", dst) {
			return
		}
		r.CheckName(n, *dst)
	}
}

// CheckName adds an issue if the text is not a valid name.
func (r *Reader) CheckName(n Node, text string) {
	if !namePattern.MatchString(text) {
		r.AddIssue(n, RuleOutOfRange, remedyName, "%q is not a name", text)
	}
}

// Names reads a list of distinct names.
func Names(dst *[]string) ReadFunc {
	return func(r *Reader, n Node) {
		seen := map[string]bool{}
		r.ReadElements(n, func(_ int, element Node) {
			var name string
			Name(&name)(r, element)
			if seen[name] {
				r.AddIssue(element, RuleRepeatedField, "keep one of them", "%q is in the list twice", name)
			}
			seen[name] = true
			*dst = append(*dst, name)
		})
	}
}

// Strings reads a list of strings.
func Strings(dst *[]string) ReadFunc {
	return func(r *Reader, n Node) {
		*dst = []string{}
		r.ReadElements(n, func(_ int, element Node) {
			var text string
			String(&text)(r, element)
			*dst = append(*dst, text)
		})
	}
}

// OneOf reads one of the given strings.
func OneOf(dst *string, values ...string) ReadFunc {
	return func(r *Reader, n Node) {
		if !r.readLiteral(n, `"`, "a string", "write a string", dst) {
			return
		}
		for _, v := range values {
			if *dst == v {
				return
			}
		}
		r.AddIssue(n, RuleUnknownValue, Suggest(*dst, values), "%q is not a known value", *dst)
	}
}

// Bool reads true or false.
func Bool(dst *bool) ReadFunc {
	return func(r *Reader, n Node) { r.readLiteral(n, "tf", "true or false", "write true or false", dst) }
}

// Int reads an integer between minValue and maxValue, both included.
func Int[T int | int64](dst *T, minValue, maxValue T) ReadFunc {
	return func(r *Reader, n Node) {
		if !r.readLiteral(n, "0", "a whole number", "write a whole number without quotes", dst) {
			return
		}
		if *dst < minValue || *dst > maxValue {
			r.AddIssue(n, RuleOutOfRange, fmt.Sprintf("use %d to %d", minValue, maxValue), "%d is out of range", *dst)
		}
	}
}

// Float reads a number between minValue and maxValue, both included.
func Float(dst *float64, minValue, maxValue float64) ReadFunc {
	return func(r *Reader, n Node) {
		if !r.readLiteral(n, "0", "a number", "write a number without quotes", dst) {
			return
		}
		if *dst < minValue || *dst > maxValue || math.IsNaN(*dst) {
			r.AddIssue(n, RuleOutOfRange, fmt.Sprintf("use %g to %g", minValue, maxValue), "%g is out of range", *dst)
		}
	}
}

// Duration reads a duration such as "90s" between minValue and maxValue, both included.
func Duration(dst *time.Duration, minValue, maxValue time.Duration) ReadFunc {
	return func(r *Reader, n Node) {
		var text string
		if !r.readLiteral(n, `"`, "a duration", remedyDuration, &text) {
			return
		}
		value, err := time.ParseDuration(text)
		if err != nil {
			r.AddIssue(n, RuleWrongUnit, remedyDuration, "%q is not a duration", text)
			return
		}
		*dst = value
		if value < minValue || value > maxValue {
			r.AddIssue(n, RuleOutOfRange, fmt.Sprintf("use %s to %s", minValue, maxValue), "%s is out of range", value)
		}
	}
}

// Cores reads a number of cores such as "2", "1.5" or "500m" and stores millicores.
func Cores(dst *int64) ReadFunc {
	return func(r *Reader, n Node) {
		var text string
		if !r.readLiteral(n, `"`, "an amount of cores", remedyCores, &text) {
			return
		}
		parts := corePattern.FindStringSubmatch(text)
		if parts == nil || (parts[2] != "" && parts[3] != "") {
			r.AddIssue(n, RuleWrongUnit, remedyCores, "%q is not an amount of cores", text)
			return
		}
		amount, _ := strconv.ParseInt(parts[1], 10, 64)
		if parts[3] == "" {
			fraction, _ := strconv.ParseInt((strings.TrimPrefix(parts[2], ".") + "000")[:3], 10, 64)
			amount = amount*milliCoresPerCore + fraction
		}
		*dst = amount
	}
}

// Bytes reads a size such as "64KiB" between minBytes and maxBytes, both included,
// and stores bytes.
func Bytes(dst *int64, minBytes, maxBytes int64) ReadFunc {
	return func(r *Reader, n Node) { readSize(r, n, dst, remedyBytes, minBytes, maxBytes) }
}

// Memory reads a size such as "64GiB" and stores mebibytes. A size that is not a
// whole number of mebibytes is an issue.
func Memory(dst *int64) ReadFunc {
	return func(r *Reader, n Node) {
		var size int64
		if !readSize(r, n, &size, remedyMemory, 0, maxSizeBytes) {
			return
		}
		if size%bytesPerMiB != 0 {
			r.AddIssue(n, RuleWrongUnit, remedyMemory, "%d bytes are not a whole number of MiB", size)
			return
		}
		*dst = size / bytesPerMiB
	}
}

func readSize(r *Reader, n Node, dst *int64, remedy string, minBytes, maxBytes int64) bool {
	var text string
	if !r.readLiteral(n, `"`, "a size", remedy, &text) {
		return false
	}
	parts := sizePattern.FindStringSubmatch(text)
	if parts == nil {
		r.AddIssue(n, RuleWrongUnit, remedy, "%q is not a size with a unit of B, KiB, MiB, GiB or TiB", text)
		return false
	}
	amount, _ := strconv.ParseInt(parts[1], 10, 64)
	unitBytes := bytesPerUnit[parts[2]]
	if amount > maxSizeBytes/unitBytes {
		r.AddIssue(n, RuleOutOfRange, remedy, "%s is out of range", text)
		return false
	}
	*dst = amount * unitBytes
	if *dst < minBytes || *dst > maxBytes {
		r.AddIssue(n, RuleOutOfRange, fmt.Sprintf("use %d to %d bytes", minBytes, maxBytes), "%s is out of range", text)
		return false
	}
	return true
}

// Suggest returns a remedy that names the candidate with the smallest edit distance
// to name, or lists all candidates if none is within maxSuggestionEdits edits.
func Suggest(name string, candidates []string) string {
	best, bestEdits := "", maxSuggestionEdits+1
	for _, c := range candidates {
		if edits := editDistance(name, c); edits < bestEdits && edits < len(c) {
			best, bestEdits = c, edits
		}
	}
	if best != "" {
		return fmt.Sprintf("did you mean %q?", best)
	}
	if len(candidates) == 0 {
		return "remove it"
	}
	return "use one of: " + strings.Join(candidates, ", ")
}

// editDistance returns the Levenshtein distance in bytes. For text longer than
// maxComparedBytes it returns maxComparedBytes without comparing, which bounds its
// cost and exceeds every distance that Suggest accepts.
func editDistance(a, b string) int {
	const maxComparedBytes = 64
	if len(a) > maxComparedBytes || len(b) > maxComparedBytes {
		return maxComparedBytes
	}
	distances := make([]int, len(b)+1)
	for j := range distances {
		distances[j] = j
	}
	for i := 1; i <= len(a); i++ {
		diagonal := distances[0]
		distances[0] = i
		for j := 1; j <= len(b); j++ {
			cost := 1
			if a[i-1] == b[j-1] {
				cost = 0
			}
			next := min(distances[j]+1, distances[j-1]+1, diagonal+cost)
			diagonal, distances[j] = distances[j], next
		}
	}
	return distances[len(b)]
}
