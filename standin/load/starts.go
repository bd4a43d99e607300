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

// journalIndex aggregates the tasks in the workers' journals.
type journalIndex struct {
	readOffsets        []int64 // next byte to read of each journal
	startsByJob        map[string][]taskStart
	taskStarts         int // number of tasks started
	endsByJob          map[string]int
	capacityViolations int // entries that report a worker over its capacity
}

// taskStart is a start of a task.
type taskStart struct {
	taskID    string
	vm        string
	startedAt time.Time
}

// readJournals reads the entries appended to the journals since the last call.
func (c *Cell) readJournals() error {
	x := &c.journal
	if x.startsByJob == nil {
		x.startsByJob, x.endsByJob, x.readOffsets = map[string][]taskStart{}, map[string]int{}, make([]int64, len(c.rackJournals))
	}
	for i, path := range c.rackJournals {
		read, err := x.readFile(path, x.readOffsets[i])
		if err != nil {
			return err
		}
		x.readOffsets[i] += read
	}
	return nil
}

func (x *journalIndex) readFile(path string, from int64) (read int64, err error) {
	file, err := os.Open(path)
	if err != nil {
		return 0, err
	}
	defer func() { _ = file.Close() }()
	if _, err := file.Seek(from, io.SeekStart); err != nil {
		return 0, err
	}
	return x.readLines(file)
}

// readLines adds the entries of all complete lines and returns the bytes read. An
// incomplete last line is left for the next call.
func (x *journalIndex) readLines(in io.Reader) (read int64, err error) {
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
			x.addEntry(e)
		}
	}
}

func (x *journalIndex) addEntry(e worker.Entry) {
	switch {
	case e.Event == worker.EventOverload || e.Event == worker.EventUsageOverload:
		x.capacityViolations++
	case e.Job == "":
	case e.Event == worker.EventStart:
		x.taskStarts++
		x.startsByJob[e.Job] = append(x.startsByJob[e.Job], taskStart{taskID: e.ID, vm: e.VM, startedAt: time.UnixMicro(e.TimeUS)})
	case e.Event == worker.EventEnd:
		x.endsByJob[e.Job]++
	}
}
