package event

import (
	"bytes"
	"fmt"
	"strings"
)

const pageHead = `# Log events

Every log line is one JSON object. Its field ` + "`event`" + ` holds the number, ` + "`message`" + ` the
name and ` + "`daemon`" + ` the daemon that wrote it. Numbers and names never change once
released. This page is generated: ` + "`go test ./daemon/node -run Events -update`" + ` writes it
and ` + "`briarproxyd events`" + ` prints it.

| number | name | level | meaning and what to do |
| --- | --- | --- | --- |
`

// Page returns the event catalogue as a Markdown page, the content of docs/events.md.
func Page() []byte {
	var page bytes.Buffer
	page.WriteString(pageHead)
	for _, e := range Catalogue() {
		fmt.Fprintf(&page, "| %d | %s | %s | %s |\n", e.Number, e.Name, e.Level, toSentence(e.Meaning))
	}
	return page.Bytes()
}

// toSentence returns the text with an initial capital letter, a full stop at its end and its
// vertical bars escaped for a Markdown table.
func toSentence(text string) string {
	text = strings.TrimSuffix(strings.ReplaceAll(text, "|", "\\|"), ".")
	if text == "" {
		return ""
	}
	return strings.ToUpper(text[:1]) + text[1:] + "."
}
