package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["explore"] = explore }

// explore plays random jobs and disruptions, to find what a case should be written about.
func explore(p *play) []string {
	rng := rand.New(rand.NewPCG(uint64(p.seed), 7))
	p.cell.rng = rand.New(rand.NewPCG(uint64(p.seed), 9))
	for i := range 12 {
		pool, kind := "svc-a", "a"
		if i%3 == 2 {
			pool = "svc-b"
		}
		if i%2 == 1 {
			kind = "b"
		}
		p.cell.addWorker(fmt.Sprintf("i-%04x", i), pool, Size{8000, 16384, int64(i % 3)}, kind, fmt.Sprintf("r%d", i/4))
	}
	adv := &Advice{DecideMs: 10, EachMs: 0.2, ValidMs: 1500}
	routes := []*Route{queue("q1", "nony24.example", "/q1/", "svc-a", 3, adv), queue("q2", "nony24.example", "/q2/", "svc-a", 2, nil), queue("q3", "ficu95.example", "/q3/", "svc-b", 3, nil)}
	p.begin(routes...)
	var mu sync.Mutex
	var accepted []*Job
	cancelled := map[string]bool{}
	var wg sync.WaitGroup
	span := 40 * time.Second
	began := time.Now()
	window := "" // kind of answers that workers leave out now
	p.cell.intercept = func(w *Worker, path string) string {
		if window == "" || path == "/pace" || p.cell.rng.Float64() > 0.15 {
			return ""
		}
		if path == "/hold" {
			return "drop"
		}
		return window
	}
	wg.Go(func() {
		for n := 0; time.Since(began) < span; n++ {
			time.Sleep(time.Duration(rng.IntN(160)) * time.Millisecond)
			job := randomJob(rng, n, routes)
			cancel := rng.IntN(10) == 0
			first := rng.IntN(3)
			wg.Go(func() {
				p.cell.mu.Lock()
				p.cell.jobs[job.ID] = job
				p.cell.mu.Unlock()
				for try := range 6 {
					status, _ := call(p.rec, p.daemons[(first+try)%3], http.MethodPost, job.queue, job.ID, job)
					if status/100 == 2 {
						mu.Lock()
						accepted = append(accepted, job)
						mu.Unlock()
						break
					}
					time.Sleep(700 * time.Millisecond)
					if try == 5 {
						return
					}
				}
				if cancel {
					time.Sleep(time.Duration(job.Steps[0].EstimateMs) * time.Millisecond / 2)
					for try := range 8 {
						if status, _ := call(p.rec, p.daemons[(first+try)%3], http.MethodDelete, job.queue, job.ID, nil); status/100 == 2 || status == 410 {
							p.cell.mu.Lock()
							p.cell.cancelled[job.ID] = time.Now()
							p.cell.mu.Unlock()
							break
						}
						time.Sleep(500 * time.Millisecond)
					}
					mu.Lock()
					cancelled[job.ID] = true
					mu.Unlock()
				}
			})
		}
	})
	n := 0
	drng := rand.New(rand.NewPCG(uint64(p.seed), 11))
	for p.trouble && time.Since(began) < span {
		time.Sleep(time.Duration(1000+drng.IntN(2500)) * time.Millisecond)
		d := p.daemons[drng.IntN(3)]
		if drng.IntN(2) == 0 {
			for _, o := range p.daemons {
				if o.leads() {
					d = o
				}
			}
		}
		switch drng.IntN(11) {
		case 0:
			d.kill()
			time.Sleep(time.Duration(300+drng.IntN(3000)) * time.Millisecond)
			d.start()
		case 1:
			d.signal(syscall.SIGTERM)
			<-d.exited
			d.start()
		case 2:
			d.signal(syscall.SIGSTOP)
			time.Sleep(time.Duration(1000+drng.IntN(3500)) * time.Millisecond)
			d.signal(syscall.SIGCONT)
		case 3, 4:
			w := p.cell.workers[fmt.Sprintf("i-%04x", drng.IntN(12))]
			if w == nil {
				continue // it has left
			}
			w.crash()
			pause := time.Duration(200+drng.IntN(3500)) * time.Millisecond
			time.AfterFunc(pause, w.restart)
			time.Sleep(3700 * time.Millisecond)
		case 5:
			n++
			old := p.cell.workers[fmt.Sprintf("i-%04x", n%12)]
			if old == nil || n > 3 {
				continue
			}
			go old.leave(time.Duration(2500+drng.IntN(3000)) * time.Millisecond)
		case 6, 7:
			how := []string{"503", "lost", "late", "slow", "silent"}[drng.IntN(5)]
			p.rec.line("store: %s", how)
			share := 0.3
			if how != "lost" && how != "late" {
				share = 1
			}
			p.cell.store.setFault(how, share)
			time.Sleep(time.Duration(1000+drng.IntN(3500)) * time.Millisecond)
			p.cell.store.setFault("", 0)
			p.rec.line("store: as usual")
			time.Sleep(time.Second)
		case 8:
			for _, o := range p.daemons {
				o.kill()
			}
			time.Sleep(700 * time.Millisecond)
			for _, o := range p.daemons {
				o.start()
			}
			time.Sleep(2 * time.Second)
		default:
			p.cell.mu.Lock()
			window = []string{"lost", "late", "drop"}[drng.IntN(3)]
			p.rec.line("workers leave answers out: %s", window)
			p.cell.mu.Unlock()
			time.Sleep(3 * time.Second)
			p.cell.mu.Lock()
			window = ""
			p.rec.line("workers answer again")
			p.cell.mu.Unlock()
		}
	}
	wg.Wait()
	p.waitReady(20 * time.Second)
	time.Sleep(25 * time.Second)
	var broken []string
	for _, job := range accepted {
		status, text := call(p.rec, p.daemons[0], http.MethodGet, job.queue, job.ID, nil)
		var body struct{ State string }
		_ = json.Unmarshal([]byte(text), &body)
		p.cell.mu.Lock()
		want := p.expected(job)
		p.cell.mu.Unlock()
		if cancelled[job.ID] || job.hopeless {
			continue
		}
		if status != 200 || body.State != want {
			broken = append(broken, fmt.Sprintf("LOST: job %s is shown as %d %q, expected %q; %d of %d tasks of its first step done", job.ID, status, body.State, want, p.cell.done(job, 0), job.Steps[0].Count))
		}
	}
	p.rec.line("%d jobs accepted, %d starts", len(accepted), p.cell.starts)
	fmt.Println(len(accepted), "jobs accepted,", p.cell.starts, "starts")
	return broken
}

// expected returns the state that a job has to have in the end.
func (p *play) expected(job *Job) string {
	for _, s := range job.Steps {
		if s.fails >= job.queue.MaxAttempts {
			return "failed"
		}
		if s.LongRunning {
			return "running"
		}
	}
	return "completed"
}

func randomJob(rng *rand.Rand, n int, routes []*Route) *Job {
	job := &Job{ID: jobID(n + 1), Spec: fmt.Sprintf("spec %d", n), queue: routes[rng.IntN(3)]}
	steps := 1 + rng.IntN(2)
	if rng.IntN(12) == 0 {
		job.Repetitions, job.FirstRunMs, job.IntervalMs = 2+rng.IntN(8), time.Now().UnixMilli()+int64(rng.IntN(4000)), int64(300+rng.IntN(2500))
		steps = 1
	}
	hopeless := rng.IntN(25) == 0
	for i := range steps {
		ms := int64(100 + rng.IntN(1500))
		s := Step{Count: 1 + rng.IntN(5), Cpu: int64(200 + rng.IntN(1500)), MemMb: int64(100 + rng.IntN(2000)), EstimateMs: ms, takes: time.Duration(ms) * time.Millisecond}
		if i > 0 {
			s.StartAfter = []int{rng.IntN(i)}
		}
		s.Gang = rng.IntN(4) == 0
		if rng.IntN(5) == 0 {
			s.Requirements = []string{"a", "b"}[rng.IntN(2)]
		}
		if rng.IntN(5) == 0 {
			s.AntiAffinity = 1 + rng.IntN(2)
			s.Count = min(s.Count, 2)
		}
		if rng.IntN(8) == 0 && !s.Gang && job.Repetitions == 0 {
			s.fails = 1 + rng.IntN(2)
		}
		if rng.IntN(20) == 0 {
			s.Gpu, s.Count, s.Requirements, s.Gang = 1, 1, "", false
		}
		s.Checkpointing = rng.IntN(3) == 0
		if rng.IntN(15) == 0 && job.Repetitions == 0 {
			s.LongRunning, s.MayMiss, s.Count = true, 1, 2
			s.fails, s.Gang, s.Gpu = 0, false, 0
			s.Cpu, s.MemMb = 200, 100
		}
		if s.Gang {
			s.AntiAffinity = 0
		}
		if s.fails > 0 {
			s.Requirements = ""
			if s.fails > 1 {
				s.Count = 1
			}
		}
		if rng.IntN(6) == 0 {
			s.SameRack = true
		}
		if rng.IntN(6) == 0 {
			s.Affinity = fmt.Sprintf("r%d", rng.IntN(4))
		}
		s.Speculative = rng.IntN(10) == 0 && !s.Gang
		if rng.IntN(12) == 0 && !s.Gang && !s.LongRunning {
			s.Fills, s.Image = true, "img-f"
		}
		if s.LongRunning {
			s.TargetMs, s.Image = 200, "img-s"
		}
		if hopeless && i == steps-1 {
			s.Gang, s.Count, s.Cpu, s.fails = true, 20, 7000, 0
			s.Fills, s.Speculative, s.LongRunning, s.AntiAffinity, s.Requirements, s.Gpu = false, false, false, 0, "", 0
			job.hopeless = true
		}
		job.Steps = append(job.Steps, s)
	}
	return job
}
