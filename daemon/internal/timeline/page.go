package timeline

import (
	_ "embed"
	"html/template"
	"io"
	"time"
)

//go:embed page.html
var pageHTML string

var pageTemplate = template.Must(template.New("timeline").Parse(pageHTML))

// Layout of the chart.
const (
	pageWidthPixels  = 1100
	labelWidthPixels = 260
	laneHeightPixels = 18
	maxLanes         = 400 // lanes beyond this are not drawn; the table below the chart has all lines
	tickIntervals    = 8
)

// bar is one interval of the chart.
type bar struct {
	X, Y, Width float64
	Kind, Title string
}

// lane is the label of one lane of the chart.
type lane struct {
	Name  string
	Y     float64
	TextY float64
}

// tick is one mark of the time axis.
type tick struct {
	X    float64
	Text string
}

// row is one line of the table.
type row struct{ Time, Since, Daemon, Text, Kind string }

// pageData is the input of the page's template.
type pageData struct {
	Title         string
	Summary       string
	Width, Height float64
	Lanes         []lane
	Bars          []bar
	Ticks         []tick
	LeftOut       int // lanes that are not drawn
	Rows          []row
}

// WritePage writes a self-contained HTML page: a chart over time with lanes for the placer,
// for daemons that could not read the log and for each task, and a table of the lines.
func WritePage(out io.Writer, title, summary string, lines []Line) error {
	data := pageData{Title: title, Summary: summary, Width: pageWidthPixels}
	if len(lines) > 0 {
		data.draw(lines)
	}
	return pageTemplate.Execute(out, &data)
}

// draw fills in the chart and the table.
func (d *pageData) draw(lines []Line) {
	from, to := lines[0].Time, lines[len(lines)-1].Time
	scale := (pageWidthPixels - labelWidthPixels) / max(to.Sub(from).Seconds(), time.Millisecond.Seconds())
	x := func(at time.Time) float64 { return labelWidthPixels + at.Sub(from).Seconds()*scale }
	laneY := map[string]float64{}
	omittedLanes := map[string]bool{}
	for _, s := range Spans(lines) {
		y, known := laneY[s.Lane]
		switch {
		case !known && len(laneY) == maxLanes:
			omittedLanes[s.Lane] = true
			continue
		case !known:
			y = float64(len(laneY)+1) * laneHeightPixels
			laneY[s.Lane] = y
			d.Lanes = append(d.Lanes, lane{s.Lane, y, y + laneHeightPixels - 5})
		}
		d.Bars = append(d.Bars, bar{x(s.From), y + 2, max(2, x(s.To)-x(s.From)), s.Kind, s.Label})
	}
	d.LeftOut = len(omittedLanes)
	d.Height = float64(len(laneY)+2) * laneHeightPixels
	for i := range tickIntervals + 1 {
		at := from.Add(to.Sub(from) * time.Duration(i) / tickIntervals)
		d.Ticks = append(d.Ticks, tick{x(at), at.UTC().Format("15:04:05.0")})
	}
	for i := range lines {
		l := &lines[i]
		kind := ""
		if l.concernsOwnership() {
			kind = "owner"
		}
		d.Rows = append(d.Rows, row{l.Time.UTC().Format("15:04:05.000"), l.Time.Sub(from).Round(time.Millisecond).String(), l.Daemon, l.Text(), kind})
	}
}
