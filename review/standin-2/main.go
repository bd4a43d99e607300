// Command standin2 plays the cases of the second review: it starts the daemons under test as
// processes, stands in for the platform's store, the advice service, the workers, the operator and the
// requesters, and judges what these have seen. It exits with 1 if the rule was broken, 0 if it held and
// 2 if the case could not be played.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"time"
)

// play is one run of a case.
type play struct {
	rec     *recorder
	cell    *Cell
	daemons []*Daemon
	next    int
	trouble bool // with the disruption
	seed    int
}

var current *play

// fatal ends the process with 2: the case could not be played.
func fatal(format string, args ...any) {
	fmt.Fprintf(os.Stderr, format+"\n", args...)
	if current != nil {
		current.rec.line("the case could not be played: "+format, args...)
		current.endAll()
	}
	os.Exit(2)
}

func (p *play) endAll() {
	for _, d := range p.daemons {
		if d.cmd != nil && d.cmd.Process != nil {
			_ = d.cmd.Process.Kill()
			<-d.exited
		}
	}
}

// cases are the plays by name. Each returns the sentences that name what was broken.
var cases = map[string]func(p *play) []string{}

func main() {
	runtime.LockOSThread() // the daemons end with the thread that started them
	program := flag.String("program", "target/briarproxyd", "program under test")
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	folder := flag.String("folder", "", "temporary folder for settings and logs")
	count := flag.Int("daemons", 3, "number of daemons")
	seed := flag.Int("seed", 1, "seed of random plays")
	holds := flag.Bool("holds", false, "record the calls to /hold, too")
	keep := flag.Int("keep", 300, "keep_s of the store, s")
	flag.Parse()
	run, known := cases[flag.Arg(0)]
	if !known || *folder == "" {
		fatal("usage: standin2 -folder DIR CASE")
	}
	file, err := os.Create(*record)
	if err != nil {
		fatal("%v", err)
	}
	rec := &recorder{file: file, began: time.Now()}
	p := &play{rec: rec, cell: newCell(rec), trouble: os.Getenv("TROUBLE") != "0", seed: *seed}
	p.cell.logHolds = *holds
	current = p
	p.cell.store.keep, keepS = time.Duration(*keep)*time.Second, *keep
	time.AfterFunc(118*time.Second, func() { fatal("the play took longer than 118 s") })
	defer func() {
		if r := recover(); r != nil {
			debug.PrintStack()
			fatal("%v", r)
		}
	}()
	store, advice := serveOn(p.cell.store), serveOn(p.cell)
	absolute, err := filepath.Abs(*program)
	if err != nil {
		fatal("%v", err)
	}
	zones := []string{"kushiro", "asahikawa", "hakodate"}
	for i := range *count {
		d := newDaemon(rec, absolute, *folder, fmt.Sprintf("frontend-%s-%d", zones[i%3], i/3+1), zones[i%3], store, advice)
		p.daemons = append(p.daemons, d)
	}
	go p.cell.keepTime()
	broken := run(p)
	p.cell.mu.Lock()
	broken = append(broken, p.cell.breaks...)
	for rule, n := range p.cell.breakCounts {
		if n > maxSentences {
			broken = append(broken, fmt.Sprintf("%s: %d times in all", rule, n))
		}
	}
	p.cell.mu.Unlock()
	for _, b := range broken {
		rec.line("RESULT broken: %s", b)
		fmt.Println("broken:", b)
	}
	p.endAll()
	if len(broken) > 0 {
		os.Exit(1)
	}
	rec.line("RESULT the rule held")
	fmt.Println("the rule held")
}
