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

// Constants and byte offsets of sock_diag messages (linux/inet_diag.h and linux/tcp.h).
const (
	netlinkSockDiag       = 4
	sockDiagByFamily      = 20
	inetDiagInfo          = 2 // INET_DIAG_INFO, the attribute that holds a tcp_info
	diagRequestBytes      = 56
	diagMessageBytes      = 72
	tcpEstablished        = 1
	offsetBytesAcked      = 120 // bytes_acked, 64 bits
	offsetBytesReceived   = 128 // bytes_received, 64 bits
	offsetDataSegmentsIn  = 152 // data_segs_in, 32 bits
	offsetDataSegmentsOut = 156 // data_segs_out, 32 bits
	receiveBufferBytes    = 1 << 20
)

// connection holds the kernel's counters of one TCP connection.
type connection struct {
	localPort, remotePort uint16
	inode                 uint32
	cookie                uint64
	bytes                 int64 // payload bytes sent and acknowledged, plus those received
	segments              int64 // segments with payload, sent and received
}

// listConnections returns the established IPv4 TCP connections of the network namespace.
func listConnections() ([]connection, error) {
	socket, err := syscall.Socket(syscall.AF_NETLINK, syscall.SOCK_RAW, netlinkSockDiag)
	if err != nil {
		return nil, fault.Wrap(err, fault.Unavailable, "run on Linux with sock_diag", "open a netlink socket")
	}
	defer func() { _ = syscall.Close(socket) }()
	if err := syscall.Sendto(socket, diagRequest(), 0, &syscall.SockaddrNetlink{Family: syscall.AF_NETLINK}); err != nil {
		return nil, err
	}
	var found []connection
	buffer := make([]byte, receiveBufferBytes)
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
			if conn, ok := parseConnection(m.Data); ok {
				found = append(found, conn)
			}
		}
	}
}

func diagRequest() []byte {
	request := make([]byte, syscall.NLMSG_HDRLEN+diagRequestBytes)
	order := binary.NativeEndian
	order.PutUint32(request[0:], uint32(len(request)))
	order.PutUint16(request[4:], sockDiagByFamily)
	order.PutUint16(request[6:], syscall.NLM_F_REQUEST|syscall.NLM_F_DUMP)
	body := request[syscall.NLMSG_HDRLEN:]
	body[0] = syscall.AF_INET
	body[1] = syscall.IPPROTO_TCP
	body[2] = 1 << (inetDiagInfo - 1)
	order.PutUint32(body[4:], 1<<tcpEstablished)
	return request
}

// parseConnection parses one sock_diag message; ok is false if it holds no counters.
func parseConnection(data []byte) (conn connection, ok bool) {
	if len(data) < diagMessageBytes {
		return conn, false
	}
	order := binary.NativeEndian
	conn.localPort = binary.BigEndian.Uint16(data[4:])
	conn.remotePort = binary.BigEndian.Uint16(data[6:])
	conn.cookie = order.Uint64(data[44:])
	conn.inode = order.Uint32(data[68:])
	for rest := data[diagMessageBytes:]; len(rest) >= syscall.SizeofRtAttr; {
		length := int(order.Uint16(rest))
		if length < syscall.SizeofRtAttr || length > len(rest) {
			return conn, false
		}
		info := rest[syscall.SizeofRtAttr:length]
		if order.Uint16(rest[2:]) == inetDiagInfo && len(info) >= offsetDataSegmentsOut+4 {
			conn.bytes = int64(order.Uint64(info[offsetBytesAcked:]) + order.Uint64(info[offsetBytesReceived:]))
			conn.segments = int64(order.Uint32(info[offsetDataSegmentsIn:])) + int64(order.Uint32(info[offsetDataSegmentsOut:]))
			return conn, true
		}
		rest = rest[min((length+3)&^3, len(rest)):]
	}
	return conn, false
}

// Purposes of a daemon's connections, named after the other end.
const (
	purposeLog     = "log"
	purposeVMList  = "VM list"
	purposeWorkers = "workers"
	purposeDaemons = "daemons"
	purposeCallers = "callers"
)

// traffic counts the payload of the daemons' connections by purpose. A connection
// between two daemons is counted at both ends.
type traffic struct {
	lastRead map[uint64]connection // by socket cookie
	bytes    map[string]int64
	segments map[string]int64
}

// updateTraffic adds the payload transferred since the last call. What a connection
// carries between its last reading and its end is not counted.
func (c *Cell) updateTraffic() error {
	found, err := listConnections()
	if err != nil {
		return err
	}
	t := &c.traffic
	current := make(map[uint64]connection, len(found))
	ports := c.portPurposes()
	daemonSockets := map[uint32]bool{}
	for _, d := range c.daemons {
		maps.Copy(daemonSockets, d.socketInodes())
	}
	for _, conn := range found {
		if !daemonSockets[conn.inode] {
			continue
		}
		purpose := ports.purpose(conn)
		t.bytes[purpose] += conn.bytes - t.lastRead[conn.cookie].bytes
		t.segments[purpose] += conn.segments - t.lastRead[conn.cookie].segments
		current[conn.cookie] = conn
	}
	t.lastRead = current
	return nil
}

// socketInodes returns the inodes of the process's open sockets.
func (p *process) socketInodes() map[uint32]bool {
	found := map[uint32]bool{}
	dir := fmt.Sprintf("/proc/%d/fd", p.command.Process.Pid)
	entries, err := os.ReadDir(dir)
	if err != nil {
		return found // the process has exited
	}
	for _, entry := range entries {
		link, err := os.Readlink(dir + "/" + entry.Name())
		if text, ok := strings.CutPrefix(link, "socket:["); err == nil && ok {
			inode, _ := strconv.ParseUint(strings.TrimSuffix(text, "]"), 10, 32)
			found[uint32(inode)] = true
		}
	}
	return found
}

// portTable maps listening ports to the purpose of their connections.
type portTable map[uint16]string

func (c *Cell) portPurposes() portTable {
	table := portTable{portOf(c.logURL): purposeLog, portOf(c.vmListURL): purposeVMList}
	for _, vm := range c.vms {
		table[portOf(vm.Address)] = purposeWorkers
	}
	for _, d := range c.daemons {
		table[portOf(d.callerURL)] = purposeCallers
		table[portOf(d.peerAddress)] = purposeDaemons
	}
	return table
}

func (t portTable) purpose(conn connection) string {
	if purpose, ok := t[conn.remotePort]; ok {
		return purpose
	}
	if purpose, ok := t[conn.localPort]; ok {
		return purpose
	}
	return "other"
}

func portOf(address string) uint16 {
	port, _ := strconv.ParseUint(address[strings.LastIndexByte(address, ':')+1:], 10, 16)
	return uint16(port)
}
