package timeline

import (
	_ "embed"
	"html/template"
	"io"
	"time"
)

//go:embed page.html
var pageText string

var page = template.Must(template.New("timeline").Parse(pageText))

// Sizes of the page, pixels.
const (
	pageWidth  = 1100
	labelWidth = 260
	laneHeight = 18
	lanesMost  = 400 // further lanes are left out of the picture; the lines below tell all
	ticks      = 8
)

type bar struct {
	X, Y, Width float64
	Kind, Title string
}

type lane struct {
	Name  string
	Y     float64
	TextY float64
}

type tick struct {
	X    float64
	Text string
}

type row struct{ Time, Since, Daemon, Text, Kind string }

type pageData struct {
	Title         string
	Summary       string
	Width, Height float64
	Lanes         []lane
	Bars          []bar
	Ticks         []tick
	LeftOut       int
	Rows          []row
}

// WritePage writes one self-contained page: lanes for the placer, for daemons that had lost
// the log and for each task, over one axis of time, and the lines below.
func WritePage(out io.Writer, title, summary string, lines []Line) error {
	data := pageData{Title: title, Summary: summary, Width: pageWidth}
	if len(lines) > 0 {
		data.draw(lines)
	}
	return page.Execute(out, &data)
}

func (d *pageData) draw(lines []Line) {
	from, to := lines[0].At, lines[len(lines)-1].At
	scale := (pageWidth - labelWidth) / max(to.Sub(from).Seconds(), time.Millisecond.Seconds())
	x := func(at time.Time) float64 { return labelWidth + at.Sub(from).Seconds()*scale }
	lanes := map[string]float64{}
	left := map[string]bool{}
	for _, s := range Spans(lines) {
		y, known := lanes[s.Lane]
		switch {
		case !known && len(lanes) == lanesMost:
			left[s.Lane] = true
			continue
		case !known:
			y = float64(len(lanes)+1) * laneHeight
			lanes[s.Lane] = y
			d.Lanes = append(d.Lanes, lane{s.Lane, y, y + laneHeight - 5})
		}
		d.Bars = append(d.Bars, bar{x(s.From), y + 2, max(2, x(s.To)-x(s.From)), s.Kind, s.Label})
	}
	d.LeftOut = len(left)
	d.Height = float64(len(lanes)+2) * laneHeight
	for i := range ticks + 1 {
		at := from.Add(to.Sub(from) * time.Duration(i) / ticks)
		d.Ticks = append(d.Ticks, tick{x(at), at.UTC().Format("15:04:05.0")})
	}
	for i := range lines {
		l := &lines[i]
		kind := ""
		if l.owns() {
			kind = "owner"
		}
		d.Rows = append(d.Rows, row{l.At.UTC().Format("15:04:05.000"), l.At.Sub(from).Round(time.Millisecond).String(), l.Daemon, l.Text(), kind})
	}
}
