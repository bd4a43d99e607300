// Command review-standin plays one case of the review: it runs the platform's stand-ins, the requesters
// and the entry processes of the system, and checks one rule of RULES.md. It exits with 1 if the rule was
// broken, 0 if it held, and 2 if the case could not run. It runs in the root of the repository.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"
)

// longestPlay is the time after which a play ends as one that could not run.
const longestPlay = 118 * time.Second

// present is the cell that is being played; its processes end with this one.
var present atomic.Pointer[cell]

// endEarly ends the play with all its processes at a signal, or when it takes too long.
func endEarly(rec *recorder) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case s := <-signals:
			rec.line("could not run: %v", s)
		case <-time.After(longestPlay):
			rec.line("could not run: it took over %v", longestPlay)
		}
		if c := present.Load(); c != nil {
			c.stop()
		}
		rec.close()
		os.Exit(2)
	}()
}

// scenario plays a case. It returns what broke the rule, or "" if it held.
type scenario func(rec *recorder, trouble bool) (broken string, err error)

var scenarios = map[string]scenario{
	"replicas":  replicas,
	"powercuts": powerCuts,
	"rolling":   rollingWorkers,
	"gangblock": gangBlock,
}

func main() {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-standin SCENARIO RECORD")
		os.Exit(2)
	}
	rec, err := newRecorder(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.line("scenario %s, trouble %t", os.Args[1], trouble)
	endEarly(rec)
	broken, err := scenarios[os.Args[1]](rec, trouble)
	status := 0
	switch {
	case err != nil:
		rec.line("could not run: %v", err)
		fmt.Println("could not run:", err)
		status = 2
	case broken != "":
		rec.line("RESULT: broken: %s", broken)
		fmt.Println("broken:", broken)
		status = 1
	default:
		rec.line("RESULT: the rule held")
		fmt.Println("the rule held")
	}
	rec.close()
	os.Exit(status)
}
