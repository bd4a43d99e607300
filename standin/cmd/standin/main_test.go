package main

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/spf13/cobra"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"briarproxy/core/wire"
	"briarproxy/standin/vmlist"
)

const testTimeout = 10 * time.Second

// run executes a command until the test ends and returns its output up to the
// first line with the given start.
func run(t *testing.T, cmd *cobra.Command, until string, args ...string) []string {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	reader, writer := io.Pipe()
	cmd.SetArgs(args)
	cmd.SetOut(writer)
	done := make(chan error, 1)
	go func() {
		done <- cmd.ExecuteContext(ctx)
		_ = writer.Close()
	}()
	t.Cleanup(func() {
		cancel()
		assert.NoError(t, <-done)
	})
	var lines []string
	scanner := bufio.NewScanner(reader)
	for scanner.Scan() {
		lines = append(lines, scanner.Text())
		if strings.HasPrefix(scanner.Text(), until) {
			go func() { _, _ = io.Copy(io.Discard, reader) }()
			return lines
		}
	}
	require.Fail(t, "the command ended early", "%q", lines)
	return nil
}

func get(t *testing.T, address, path string, reply any) {
	t.Helper()
	response, err := http.Get("http://" + address + path)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	require.NoError(t, json.NewDecoder(response.Body).Decode(reply))
}

// Guards against a VM list that names addresses where no worker answers, and
// against more workers in a rack than asked for.
func TestWorkersMatchTheirList(t *testing.T) {
	file := filepath.Join(t.TempDir(), "vms.json")
	lines := run(t, workersCommand(), "ready", "--count", "5", "--per-rack", "2", "--racks", "doto/kushiro/r1,doo/hakodate/r", "--vm-list", file)
	vms, err := vmlist.LoadFile(file)
	require.NoError(t, err)
	require.Len(t, vms, 5)
	var racks []string
	for i, vm := range vms {
		assert.Equal(t, "listening "+vm.Address+" "+vm.Name, lines[i])
		var report wire.Report
		get(t, vm.Address, wire.PathReport, &report)
		assert.Equal(t, vm.Name, report.VM)
		assert.Equal(t, vm.Capacity, report.Capacity)
		racks = append(racks, vm.DataCentre+"/"+vm.Rack)
	}
	assert.Equal(t, []string{"kushiro/r1", "kushiro/r1", "hakodate/r", "hakodate/r", "hakodate/r-2"}, racks)
}

// Guards against a stand-in that does not print its address, answers elsewhere, or
// does not stop: tests with processes would hang.
func TestCommandsListenAndStop(t *testing.T) {
	logLines := run(t, logServiceCommand(), "listening")
	address := strings.Fields(logLines[0])[1]
	run(t, vmListCommand(), "listening")
	run(t, workerCommand(), "listening")
	lines := run(t, faultProxyCommand(), "listening", "--target", address)
	require.Len(t, lines, 2)
	var reply wire.ReadReply
	get(t, strings.Fields(lines[1])[1], "/v1/streams/x/records", &reply)
	assert.Equal(t, int64(1), reply.Next)
}
