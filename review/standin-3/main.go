// Command standin-3 plays the cases of this review: the system's own daemons as processes, and stand-ins of the
// platform's store, of workers and of callers, on loopback addresses and the real clock.
//
//	standin-3 CASE DAEMON RECORD
//
// DAEMON is the daemon's binary, RECORD the file for what was sent, answered and run. With TROUBLE=0 in the
// environment the disruption is left out. It exits with 1 if the rule was broken, 0 if it held, 2 if the case could
// not run.
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"
)

const (
	callerHost  = "nony24.example"
	serviceName = "huvo11a"
	finishTime  = 14 * time.Second // finish_s
	daemonCount = 3
)

// scenario is what a case plays and judges. It returns why the rule was broken, or "".
type scenario struct {
	workers int
	keepS   int // retention time of the store, s; 0 is 300
	kind    func(i int) string
	routes  []route
	play    func(c *cell, trouble bool) (broken string, err error)
}

type route struct {
	Name, Host, PathPrefix, Type string
	TimeoutMs, TargetLatencyMs   int
	Priority                     int
	Service                      string
	MaxAttempts                  int
	SlackFactor                  float64
	Advice                       *advice `json:",omitempty"`
}

type advice struct{ DecideMs, EachMs, ValidMs float64 }

func plainRoute(prefix string) route {
	return route{Name: "r-" + strings.Trim(prefix, "/"), Host: callerHost, PathPrefix: prefix, Type: "non_idempotent", TimeoutMs: 3000, TargetLatencyMs: 3000, Priority: 1, Service: serviceName, MaxAttempts: 4, SlackFactor: 2.2}
}

// publish writes a manifest to the store, as the operator does.
func (c *cell) publish(version int, routes []route) {
	data, err := json.Marshal(map[string]any{
		"Version": version, "Routes": routes,
		"Services": []map[string]any{{"Name": serviceName, "HealthPath": "/health", "MaxConnections": 64, "Protocol": "h1", "Tls": false, "EnforcesCapacity": false, "Standby": false}},
		"Limits":   map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	})
	if err != nil {
		panic(err)
	}
	c.store.put("keyed.op", "config", data)
	c.record.add("operator", "the store acknowledges manifest version %d with %d routes", version, len(routes))
}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standin-3 CASE DAEMON RECORD")
		os.Exit(2)
	}
	s, known := scenarios[os.Args[1]]
	if !known {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		os.Exit(2)
	}
	broken, err := run(&s, os.Args[2], os.Args[3], os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		fmt.Println("the case could not run:", err)
		os.Exit(2)
	case broken != "":
		fmt.Println("BROKEN:", broken)
		os.Exit(1)
	}
	fmt.Println("held")
}

func run(s *scenario, binary, recordPath string, trouble bool) (string, error) {
	rec, err := newRecord(recordPath)
	if err != nil {
		return "", err
	}
	dir, err := os.MkdirTemp("", "standin3-")
	if err != nil {
		return "", err
	}
	c := &cell{dir: dir, binary: binary, record: rec, store: newStore(), client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, keepS: 300}
	if s.keepS > 0 {
		c.keepS = s.keepS
		c.store.retention = time.Duration(s.keepS) * time.Second
	}
	defer c.close()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	go func() { <-interrupted; c.close(); os.Exit(2) }()
	if c.storeAt, err = serve(c.store); err != nil {
		return "", err
	}
	if c.fleet, err = newFleet(c.store, serviceName, s.workers, size{64000, 262144, 0}, s.kind, rec); err != nil {
		return "", err
	}
	if c.adviceAt, err = serve(&adviser{fleet: c.fleet}); err != nil {
		return "", err
	}
	c.publish(7, s.routes)
	if err := c.addDaemons(daemonCount); err != nil {
		return "", err
	}
	for _, d := range c.daemons {
		if err := c.start(d); err != nil {
			return "", err
		}
	}
	rec.add("case", "%s, trouble %v", os.Args[1], trouble)
	broken, err := s.play(c, trouble)
	if err == nil && broken != "" {
		rec.add("judge", "BROKEN: %s", broken)
	} else if err == nil {
		rec.add("judge", "the rule held")
	}
	return broken, err
}

// waitFor waits until a condition on the workers' observations holds.
func (c *cell) waitFor(limit time.Duration, condition func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		c.fleet.mu.Lock()
		ok := condition()
		c.fleet.mu.Unlock()
		if ok {
			return true
		}
	}
	return false
}

// runningTasks returns how many of the tasks PREFIX.0 to PREFIX.(n-1) run. It is called with the fleet's lock held.
func (f *fleet) runningTasks(prefix string, n int) int {
	running := 0
	for i := range n {
		if f.task(fmt.Sprintf("%s.%d", prefix, i)).running != nil {
			running++
		}
	}
	return running
}

var (
	errNotAccepted  = errors.New("the job was not accepted")
	errNotCancelled = errors.New("the job's cancelling was not acknowledged")
	errNotStarted   = errors.New("the tasks were not started before the disruption")
)

func never(string, int) behaviour { return behaviour{} }
