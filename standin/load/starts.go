package load

import (
	"bufio"
	"encoding/json"
	"errors"
	"io"
	"os"
	"time"

	"briarproxy/standin/worker"
)

// startIndex holds what the workers' journals say of tasks.
type startIndex struct {
	offsets []int64 // bytes read of each journal
	jobs    map[string][]start
	tasks   int // task starts
	ends    map[string]int
	faults  int // overloads
}

// start is the start of a task.
type start struct {
	task string
	vm   string
	at   time.Time
}

// readJournals takes in what was appended to the journals.
func (c *Cell) readJournals() error {
	x := &c.starts
	if x.jobs == nil {
		x.jobs, x.ends, x.offsets = map[string][]start{}, map[string]int{}, make([]int64, len(c.journals))
	}
	for i, path := range c.journals {
		read, err := x.read(path, x.offsets[i])
		if err != nil {
			return err
		}
		x.offsets[i] += read
	}
	return nil
}

func (x *startIndex) read(path string, from int64) (read int64, err error) {
	file, err := os.Open(path)
	if err != nil {
		return 0, err
	}
	defer func() { _ = file.Close() }()
	if _, err := file.Seek(from, io.SeekStart); err != nil {
		return 0, err
	}
	return x.scan(file)
}

// scan takes in whole lines and returns their length. What is left is read once
// its line is complete.
func (x *startIndex) scan(in io.Reader) (read int64, err error) {
	reader := bufio.NewReader(in)
	for {
		line, err := reader.ReadBytes('\n')
		if errors.Is(err, io.EOF) {
			return read, nil
		}
		if err != nil {
			return read, err
		}
		read += int64(len(line))
		var e worker.Entry
		if json.Unmarshal(line, &e) == nil {
			x.add(e)
		}
	}
}

func (x *startIndex) add(e worker.Entry) {
	switch {
	case e.Event == worker.EventOverload || e.Event == worker.EventOveruse:
		x.faults++
	case e.Job == "":
	case e.Event == worker.EventStart:
		x.tasks++
		x.jobs[e.Job] = append(x.jobs[e.Job], start{task: e.ID, vm: e.VM, at: time.UnixMicro(e.TimeUS)})
	case e.Event == worker.EventEnd:
		x.ends[e.Job]++
	}
}
