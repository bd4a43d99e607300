package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"

	"github.com/spf13/cobra"

	"briarproxy/core/fault"
	"briarproxy/core/resource"
	"briarproxy/core/wire"
	"briarproxy/standin/internal/httpjson"
	"briarproxy/standin/worker"
)

// workerFlags are the flags that worker and workers share.
type workerFlags struct {
	options     worker.Options
	operations  []string
	journalPath string
}

func (f *workerFlags) add(cmd *cobra.Command) {
	flags := cmd.Flags()
	flags.Int64Var(&f.options.Capacity.MilliCores, "milli-cores", 8000, "capacity, thousandths of a core")
	flags.Int64Var(&f.options.Capacity.MemoryMiB, "memory-mib", 16384, "capacity, MiB")
	flags.Int64Var(&f.options.Capacity.Accelerators, "accelerators", 0, "capacity, devices")
	flags.Int64Var(&f.options.Capacity.Slots, "slots", 8, "capacity, concurrent requests")
	flags.Int64Var(&f.options.Incarnation, "incarnation", 0, "incarnation number; 0: Unix time in ms")
	flags.BoolVar(&f.options.AllowOvercommit, "trusting", false, "accept work over capacity and journal it as an overload")
	flags.BoolVar(&f.options.DisableFencing, "unfenced", false, "ignore epochs and not_after")
	flags.StringArrayVar(&f.operations, "operation", nil, "NAME=MS: run time of an operation; may be repeated")
	flags.DurationVar(&f.options.DefaultOperationRunTime, "default-run", worker.DefaultRunTime, "run time of other operations")
	flags.DurationVar(&f.options.UsageLag, "usage-lag", worker.DefaultUsageLag, "age of the use that reports show; negative: none")
	flags.DurationVar(&f.options.ResultRetention, "keep-results", worker.DefaultResultRetention, "time for which results wait for an ack")
	flags.BoolVar(&f.options.ReportEndedRequests, "report-ended-requests", false, "list ended requests in reports until ack")
	flags.StringVar(&f.journalPath, "journal", "", "file that the journal is appended to; default: memory, read by GET /control/journal")
}

// finish opens the journal and parses the operations. The journal file stays open
// until the process ends.
func (f *workerFlags) finish() error {
	operations, err := parseOperations(f.operations)
	if err != nil {
		return err
	}
	f.options.Operations = operations
	f.options.Checkpoints = worker.NewCheckpoints()
	f.options.Journal = worker.NewJournal(nil)
	if f.journalPath == "" {
		return nil
	}
	file, err := os.OpenFile(f.journalPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return fault.Wrap(err, fault.Invalid, "name a file that can be written", "--journal")
	}
	f.options.Journal = worker.NewJournal(file)
	return nil
}

func parseOperations(texts []string) (map[string]worker.Operation, error) {
	operations := make(map[string]worker.Operation, len(texts))
	for _, text := range texts {
		name, value, _ := strings.Cut(text, "=")
		var op worker.Operation
		if _, err := fmt.Sscanf(value, "%d", &op.RunMS); err != nil || op.RunMS < 0 {
			return nil, fault.New(fault.Invalid, "use NAME=MS, such as survey=40", "--operation %q", text)
		}
		operations[name] = op
	}
	return operations, nil
}

func workerCommand() *cobra.Command {
	var address string
	var shared workerFlags
	cmd := &cobra.Command{
		Use:   "worker",
		Short: "Run one worker",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := shared.finish(); err != nil {
				return err
			}
			return httpjson.Serve(cmd.Context(), address, "", worker.New(shared.options), cmd.OutOrStdout())
		},
	}
	listenFlag(cmd, &address)
	shared.add(cmd)
	cmd.Flags().StringVar(&shared.options.Name, "name", "worker-001", "name of the VM")
	return cmd
}

// fleet describes the workers of one process.
type fleet struct {
	count   int
	host    string
	prefix  string
	racks   []string // region/data centre/rack
	perRack int
	vmFile  string
	shared  workerFlags
}

func workersCommand() *cobra.Command {
	var f fleet
	cmd := &cobra.Command{
		Use:   "workers",
		Short: "Run many workers in one process",
		Long: "Runs many workers in one process, each on its own port. Prints a line\n" +
			"\"listening ADDRESS NAME\" for each and \"ready COUNT\" when all listen.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return f.run(cmd) },
	}
	flags := cmd.Flags()
	flags.IntVar(&f.count, "count", 50, "number of workers")
	flags.StringVar(&f.host, "host", "127.0.0.1", "IP address to listen on")
	flags.StringVar(&f.prefix, "prefix", "worker-", "start of the VM names")
	flags.StringSliceVar(&f.racks, "racks", []string{"region-1/dc-1/rack"}, "REGION/DC/RACK,...; racks are filled in this order, and then numbered ones like the last")
	flags.IntVar(&f.perRack, "per-rack", 8, "workers in a rack")
	flags.StringVar(&f.vmFile, "vm-list", "", "file that the VM list is written to")
	f.shared.add(cmd)
	return cmd
}

func (f *fleet) run(cmd *cobra.Command) error {
	if err := f.shared.finish(); err != nil {
		return err
	}
	vms, listeners, err := f.listen()
	if err != nil {
		return err
	}
	if err := f.writeList(vms); err != nil {
		return err
	}
	failed := make(chan error, len(vms))
	ctx, cancel := context.WithCancel(cmd.Context())
	defer cancel()
	var group sync.WaitGroup
	for i, vm := range vms {
		options := f.shared.options
		options.Name = vm.Name
		w := worker.New(options)
		httpjson.Announce(cmd.OutOrStdout(), vm.Address, vm.Name)
		group.Go(func() {
			if err := httpjson.ServeOn(ctx, listeners[i], w); err != nil {
				failed <- err
				cancel()
			}
		})
	}
	_, _ = fmt.Fprintf(cmd.OutOrStdout(), "ready %d\n", len(vms))
	group.Wait()
	close(failed)
	return <-failed
}

// listen opens the listeners before the list is written, so that the list has
// only addresses that answer.
func (f *fleet) listen() ([]wire.VM, []net.Listener, error) {
	if f.count < 1 || f.perRack < 1 {
		return nil, nil, fault.New(fault.Invalid, "use at least 1", "--count %d, --per-rack %d", f.count, f.perRack)
	}
	vms := make([]wire.VM, 0, f.count)
	listeners := make([]net.Listener, 0, f.count)
	for i := range f.count {
		vm, err := f.vm(i, f.shared.options.Capacity)
		if err != nil {
			return nil, nil, err
		}
		listener, err := net.Listen("tcp", net.JoinHostPort(f.host, "0"))
		if err != nil {
			return nil, nil, fault.Wrap(err, fault.Unavailable, "choose another --host", "listen for %s", vm.Name)
		}
		vm.Address = listener.Addr().String()
		vms = append(vms, vm)
		listeners = append(listeners, listener)
	}
	return vms, listeners, nil
}

// vm returns the entry of the worker at an index.
func (f *fleet) vm(index int, capacity resource.Vector) (wire.VM, error) {
	rack := index / f.perRack
	last := len(f.racks) - 1
	parts := strings.Split(f.racks[min(rack, last)], "/")
	if len(parts) != 3 {
		return wire.VM{}, fault.New(fault.Invalid, "use REGION/DC/RACK", "--racks %q", f.racks[min(rack, last)])
	}
	if rack > last {
		parts[2] += fmt.Sprintf("-%d", rack-last+1)
	}
	return wire.VM{
		Name:       fmt.Sprintf("%s%03d", f.prefix, index+1),
		Role:       wire.RoleWorker,
		State:      wire.VMLive,
		Region:     parts[0],
		DataCentre: parts[1],
		Rack:       parts[2],
		Capacity:   capacity,
	}, nil
}

func (f *fleet) writeList(vms []wire.VM) error {
	if f.vmFile == "" {
		return nil
	}
	data, err := json.MarshalIndent(wire.VMList{VMs: vms}, "", "  ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(f.vmFile, append(data, '\n'), 0o644); err != nil {
		return fault.Wrap(err, fault.Invalid, "name a file that can be written", "--vm-list")
	}
	return nil
}
