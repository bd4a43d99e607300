package load

import (
	"encoding/binary"
	"fmt"
	"maps"
	"os"
	"strconv"
	"strings"
	"syscall"

	"briarproxy/core/fault"
)

// Layout of sock_diag messages (linux/inet_diag.h and linux/tcp.h).
const (
	netlinkSockDiag  = 4
	sockDiagByFamily = 20
	diagInfo         = 2 // attribute with a tcp_info
	diagRequestSize  = 56
	diagMessageSize  = 72
	established      = 1
	offsetAcked      = 120 // bytes_acked, 64 bits
	offsetReceived   = 128 // bytes_received, 64 bits
	offsetDataIn     = 152 // data_segs_in, 32 bits
	offsetDataOut    = 156 // data_segs_out, 32 bits
	receiveBuffer    = 1 << 20
)

// flow holds the kernel's counters of one TCP connection.
type flow struct {
	local, remote uint16 // ports
	inode         uint32
	cookie        uint64
	bytes         int64 // payload that was sent and acknowledged, or received
	segments      int64 // with payload, sent or received
}

// flows lists the open IPv4 TCP connections of the network namespace.
func flows() ([]flow, error) {
	socket, err := syscall.Socket(syscall.AF_NETLINK, syscall.SOCK_RAW, netlinkSockDiag)
	if err != nil {
		return nil, fault.Wrap(err, fault.Unavailable, "run on Linux with sock_diag", "open a netlink socket")
	}
	defer func() { _ = syscall.Close(socket) }()
	if err := syscall.Sendto(socket, diagRequest(), 0, &syscall.SockaddrNetlink{Family: syscall.AF_NETLINK}); err != nil {
		return nil, err
	}
	var found []flow
	buffer := make([]byte, receiveBuffer)
	for {
		n, _, err := syscall.Recvfrom(socket, buffer, 0)
		if err != nil {
			return nil, err
		}
		messages, err := syscall.ParseNetlinkMessage(buffer[:n])
		if err != nil {
			return nil, err
		}
		for _, m := range messages {
			switch m.Header.Type {
			case syscall.NLMSG_DONE:
				return found, nil
			case syscall.NLMSG_ERROR:
				return nil, fault.New(fault.Unavailable, "run on Linux with sock_diag", "the kernel refused to list connections")
			}
			if f, ok := parseFlow(m.Data); ok {
				found = append(found, f)
			}
		}
	}
}

func diagRequest() []byte {
	request := make([]byte, syscall.NLMSG_HDRLEN+diagRequestSize)
	order := binary.NativeEndian
	order.PutUint32(request[0:], uint32(len(request)))
	order.PutUint16(request[4:], sockDiagByFamily)
	order.PutUint16(request[6:], syscall.NLM_F_REQUEST|syscall.NLM_F_DUMP)
	body := request[syscall.NLMSG_HDRLEN:]
	body[0] = syscall.AF_INET
	body[1] = syscall.IPPROTO_TCP
	body[2] = 1 << (diagInfo - 1)
	order.PutUint32(body[4:], 1<<established)
	return request
}

// parseFlow reads one message; ok is false if it has no counters.
func parseFlow(data []byte) (f flow, ok bool) {
	if len(data) < diagMessageSize {
		return f, false
	}
	order := binary.NativeEndian
	f.local = binary.BigEndian.Uint16(data[4:])
	f.remote = binary.BigEndian.Uint16(data[6:])
	f.cookie = order.Uint64(data[44:])
	f.inode = order.Uint32(data[68:])
	for rest := data[diagMessageSize:]; len(rest) >= syscall.SizeofRtAttr; {
		length := int(order.Uint16(rest))
		if length < syscall.SizeofRtAttr || length > len(rest) {
			return f, false
		}
		info := rest[syscall.SizeofRtAttr:length]
		if order.Uint16(rest[2:]) == diagInfo && len(info) >= offsetDataOut+4 {
			f.bytes = int64(order.Uint64(info[offsetAcked:]) + order.Uint64(info[offsetReceived:]))
			f.segments = int64(order.Uint32(info[offsetDataIn:])) + int64(order.Uint32(info[offsetDataOut:]))
			return f, true
		}
		rest = rest[min((length+3)&^3, len(rest)):]
	}
	return f, false
}

// peers of a daemon's connections, by purpose.
const (
	toLog     = "log"
	toVMList  = "VM list"
	toWorkers = "workers"
	toDaemons = "daemons"
	toCallers = "callers"
)

// traffic counts the payload of the daemons' connections by purpose. A connection
// between two daemons counts at both ends.
type traffic struct {
	seen     map[uint64]flow // by cookie, as last read
	bytes    map[string]int64
	segments map[string]int64
}

// countTraffic adds what was transferred since the last call. What a connection
// carried between its last reading and its end is missed.
func (c *Cell) countTraffic() error {
	found, err := flows()
	if err != nil {
		return err
	}
	t := &c.traffic
	seen := make(map[uint64]flow, len(found))
	ports := c.ports()
	open := map[uint32]bool{}
	for _, d := range c.daemons {
		maps.Copy(open, d.inodes())
	}
	for _, f := range found {
		if !open[f.inode] {
			continue
		}
		purpose := ports.purpose(f)
		t.bytes[purpose] += f.bytes - t.seen[f.cookie].bytes
		t.segments[purpose] += f.segments - t.seen[f.cookie].segments
		seen[f.cookie] = f
	}
	t.seen = seen
	return nil
}

// inodes returns the sockets that the process has open.
func (p *process) inodes() map[uint32]bool {
	found := map[uint32]bool{}
	dir := fmt.Sprintf("/proc/%d/fd", p.command.Process.Pid)
	entries, err := os.ReadDir(dir)
	if err != nil {
		return found // the process has ended
	}
	for _, entry := range entries {
		link, err := os.Readlink(dir + "/" + entry.Name())
		if text, is := strings.CutPrefix(link, "socket:["); err == nil && is {
			inode, _ := strconv.ParseUint(strings.TrimSuffix(text, "]"), 10, 32)
			found[uint32(inode)] = true
		}
	}
	return found
}

// portTable tells the purpose of a connection by its ports.
type portTable map[uint16]string

func (c *Cell) ports() portTable {
	table := portTable{portOf(c.logURL): toLog, portOf(c.vmListURL): toVMList}
	for _, vm := range c.vms {
		table[portOf(vm.Address)] = toWorkers
	}
	for _, d := range c.daemons {
		table[portOf(d.url)] = toCallers
		table[portOf(d.peer)] = toDaemons
	}
	return table
}

func (t portTable) purpose(f flow) string {
	if purpose, ok := t[f.remote]; ok {
		return purpose
	}
	if purpose, ok := t[f.local]; ok {
		return purpose
	}
	return "other"
}

func portOf(address string) uint16 {
	port, _ := strconv.ParseUint(address[strings.LastIndexByte(address, ':')+1:], 10, 16)
	return uint16(port)
}
