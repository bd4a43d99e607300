package integration

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/rpc"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"briarproxy/standin/platform"
)

// The crowd, and the bounds that a daemon must keep while it is there. The daemon's settings name the
// same limits. Its peak is its resident memory plus the bytes that the kernel holds for its ports, as
// the platform counts both.
const (
	crowdClients     = 640
	crowdMemoryMiB   = 128
	crowdDescriptors = 512
	crowdBodyBytes   = 256 << 10       // the largest body inside the published limits
	crowdSends       = 4 * time.Second // each client sends for this long at most, then only stays open
	crowdSample      = 20 * time.Millisecond
)

// crowdTest is a cell of one daemon under a crowd of clients on one of its ports.
type crowdTest struct {
	*platformCell
	addresses daemonAddresses
	mu        sync.Mutex
	open      []net.Conn
	stop      chan struct{}
	sampled   chan crowdPeak
}

// crowdPeak holds the highest values that were sampled.
type crowdPeak struct{ descriptors, queuedBytes int }

func newCrowdTest(t *testing.T) *crowdTest { return newCrowdTestWith(t, crowdDescriptors) }

func newCrowdTestWith(t *testing.T, descriptors int) *crowdTest {
	t.Helper()
	c := &crowdTest{stop: make(chan struct{}), sampled: make(chan crowdPeak, 1)}
	c.platformCell = startPlatformCell(&platformCell{
		t: t, store: platform.NewStore(), retentionSeconds: 300, maxLease: defaultMaxLease,
		memoryMiB: crowdMemoryMiB, descriptors: descriptors,
	}, 1, 4, false)
	c.addresses = waitAddresses(c.daemons[0])
	c.ordinaryRequest("before") // a daemon that isn't ready refuses everyone
	go c.sample()
	t.Cleanup(c.leave)
	return c
}

// arrive sends the crowd to an address. Every client dials, sends what send writes, and stays open.
func (c *crowdTest) arrive(address string, send func(conn net.Conn, client int)) {
	c.t.Helper()
	var clients sync.WaitGroup
	for i := range crowdClients {
		clients.Go(func() {
			conn, err := net.DialTimeout("tcp", address, crowdSends)
			if err != nil {
				return // to refuse a client is allowed
			}
			c.mu.Lock()
			c.open = append(c.open, conn)
			c.mu.Unlock()
			_ = conn.SetDeadline(time.Now().Add(crowdSends))
			send(conn, i)
		})
	}
	clients.Wait()
}

// leave closes the connections of all clients.
func (c *crowdTest) leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.open {
		_ = conn.Close()
	}
	c.open = nil
}

// ordinaryRequest submits one job as callers do, and waits for its end.
func (c *crowdTest) ordinaryRequest(name string) {
	c.t.Helper()
	id := fmt.Sprintf("%016x", 0x0c00+len(name))
	c.submit(0, id, c.newStep(id, 0, 1, 50*time.Millisecond, nil))
	c.waitCompleted(0, []string{id}, 30*time.Second)
}

// checkBounds checks the daemon's peaks and that it is alive and answers.
func (c *crowdTest) checkBounds() {
	c.t.Helper()
	select {
	case <-c.daemons[0].exited:
		require.Fail(c.t, "the daemon has ended")
	default:
	}
	c.ordinaryRequest("after")
	require.Eventually(c.t, func() bool {
		resp, err := (&http.Client{Timeout: time.Second}).Get("http://" + c.addresses.Ready + "/ready")
		if err != nil {
			return false
		}
		_ = resp.Body.Close() // Only the status is used.
		return resp.StatusCode == http.StatusOK
	}, 10*time.Second, 100*time.Millisecond, "the readiness port must answer")
	close(c.stop)
	peak := <-c.sampled
	resident := c.residentPeak()
	c.t.Logf("resident peak %d KiB, unread bytes %d KiB, descriptors %d", resident>>10, peak.queuedBytes>>10, peak.descriptors)
	require.LessOrEqual(c.t, resident+peak.queuedBytes, crowdMemoryMiB<<20, "bytes of memory")
	require.LessOrEqual(c.t, peak.descriptors, c.descriptors, "open descriptors")
}

// residentPeak returns the peak of the daemon's resident memory in bytes.
func (c *crowdTest) residentPeak() int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", c.daemons[0].cmd.Process.Pid))
	require.NoError(c.t, err)
	for line := range strings.Lines(string(status)) {
		if fields := strings.Fields(line); fields[0] == "VmHWM:" {
			kib, err := strconv.Atoi(fields[1])
			require.NoError(c.t, err)
			return kib << 10
		}
	}
	require.Fail(c.t, "no VmHWM")
	return 0
}

// sample records the peaks of the daemon's descriptors and of its ports' queues until stop is closed.
func (c *crowdTest) sample() {
	ports := map[string]bool{}
	for _, address := range []string{c.addresses.Callers, c.addresses.Ready, c.addresses.Peers, c.addresses.Metrics} {
		_, port, _ := net.SplitHostPort(address)
		number, _ := strconv.Atoi(port)
		ports[fmt.Sprintf("%04X", number)] = true
	}
	directory := fmt.Sprintf("/proc/%d/fd", c.daemons[0].cmd.Process.Pid)
	var peak crowdPeak
	for {
		if open, err := os.ReadDir(directory); err == nil {
			peak.descriptors = max(peak.descriptors, len(open))
		}
		peak.queuedBytes = max(peak.queuedBytes, queuedBytes(ports))
		select {
		case <-c.stop:
			c.sampled <- peak
			return
		case <-time.After(crowdSample):
		}
	}
}

// queuedBytes returns how many bytes the kernel holds for sockets with one of the local ports: received
// and not yet read, or sent and not yet taken. Ports are in hexadecimal, as in /proc/net/tcp.
func queuedBytes(ports map[string]bool) int {
	const listening = "0A" // its queue is the number of waiting connections
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0
	}
	total := 0
	for line := range strings.Lines(string(table)) {
		fields := strings.Fields(line)
		_, port, found := strings.Cut(fields[1], ":")
		if !found || !ports[port] || fields[3] == listening {
			continue
		}
		sent, received, _ := strings.Cut(fields[4], ":")
		for _, queue := range []string{sent, received} {
			n, err := strconv.ParseInt(queue, 16, 64)
			if err == nil {
				total += int(n)
			}
		}
	}
	return total
}

// postHeader returns the header of a submission, with the fields that describe its body.
func postHeader(client int, bodyFields string) string {
	return fmt.Sprintf("POST %s%016x HTTP/1.1\r\nHost: %s\r\nX-Deadline-Ms: 3000\r\nContent-Type: application/json\r\n%s\r\n\r\n",
		jobsPath, 0xc0000+client, jobsHost, bodyFields)
}

var wholeBodyField = "Content-Length: " + strconv.Itoa(crowdBodyBytes)

// crowdBody is a body without its last byte.
func crowdBody() []byte {
	return append([]byte(`{"Spec":"`), bytes.Repeat([]byte("x"), crowdBodyBytes-1-len(`{"Spec":"`))...)
}

// write writes and ignores errors: to close the connection of such a client is allowed.
func write(conn net.Conn, data []byte) bool {
	_, err := conn.Write(data)
	return err == nil
}

// Guards against a daemon that runs out of memory over many large bodies that stop short of their last byte.
func TestCrowdOfBodiesShortOfOneByte(t *testing.T) {
	c, body := newCrowdTest(t), crowdBody()
	c.arrive(c.addresses.Callers, func(conn net.Conn, i int) {
		_ = write(conn, []byte(postHeader(i, wholeBodyField))) && write(conn, body)
	})
	c.checkBounds()
}

// Guards against a daemon that has descriptors to spare and runs out of memory: over large bodies that
// stop short of their last byte, and over long headers that never end.
func TestCrowdThatMeetsTheMemoryFirst(t *testing.T) {
	body, long := crowdBody(), "X-Long: "+strings.Repeat("y", 14<<10)
	c := newCrowdTestWith(t, defaultDescriptors)
	c.arrive(c.addresses.Callers, func(conn net.Conn, i int) {
		header := postHeader(i, wholeBodyField+"\r\n"+long)
		if i%2 == 0 {
			_ = write(conn, []byte(strings.TrimSuffix(header, "\r\n")))
			return
		}
		_ = write(conn, []byte(header)) && write(conn, body)
	})
	c.checkBounds()
}

// Guards against a daemon that has descriptors to spare and runs out of memory over headers of thousands of
// short fields that never end.
func TestCrowdOfManyHeaderFields(t *testing.T) {
	header := []byte("POST " + jobsPath + "00000000000c0000 HTTP/1.1\r\nHost: " + jobsHost + "\r\n")
	for i := 0; len(header) < 15<<10; i++ {
		header = fmt.Appendf(header, "%x:\r\n", i)
	}
	c := newCrowdTestWith(t, defaultDescriptors)
	c.arrive(c.addresses.Callers, func(conn net.Conn, _ int) { _ = write(conn, header) })
	c.checkBounds()
}

// Guards against a daemon that runs out of memory over many large bodies that arrive in pieces.
func TestCrowdOfBodiesInPieces(t *testing.T) {
	c, body := newCrowdTest(t), crowdBody()
	c.arrive(c.addresses.Callers, func(conn net.Conn, i int) {
		ok := write(conn, []byte(postHeader(i, wholeBodyField)))
		for rest := body; ok && len(rest) > 0; time.Sleep(5 * time.Millisecond) {
			piece := min(16<<10, len(rest))
			ok, rest = write(conn, rest[:piece]), rest[piece:]
		}
	})
	c.checkBounds()
}

// Guards against a daemon that runs out of memory over many bodies of one large chunk each.
func TestCrowdOfLargeChunks(t *testing.T) {
	c, body := newCrowdTest(t), crowdBody()
	c.arrive(c.addresses.Callers, func(conn net.Conn, i int) {
		_ = write(conn, []byte(postHeader(i, "Transfer-Encoding: chunked"))) && write(conn, fmt.Appendf(nil, "%x\r\n", crowdBodyBytes)) && write(conn, body)
	})
	c.checkBounds()
}

// Guards against a daemon that runs out of memory over many bodies in chunks of one byte.
func TestCrowdOfTinyChunks(t *testing.T) {
	c, chunks := newCrowdTest(t), bytes.Repeat([]byte("1\r\nx\r\n"), 64<<10)
	c.arrive(c.addresses.Callers, func(conn net.Conn, i int) {
		_ = write(conn, []byte(postHeader(i, "Transfer-Encoding: chunked"))) && write(conn, chunks)
	})
	c.checkBounds()
}

// Guards against a daemon that runs out of memory or descriptors over headers that never end.
func TestCrowdOfEndlessHeaders(t *testing.T) {
	c := newCrowdTest(t)
	header := []byte("POST " + jobsPath + "00000000000c0000 HTTP/1.1\r\nHost: " + jobsHost + "\r\n")
	for i := 0; len(header) < 15<<10; i++ {
		header = fmt.Appendf(header, "X-%d: y\r\n", i)
	}
	c.arrive(c.addresses.Callers, func(conn net.Conn, _ int) {
		for ok := write(conn, header); ok; time.Sleep(200 * time.Millisecond) {
			ok = write(conn, []byte("z"))
		}
	})
	c.checkBounds()
}

// Guards against bodies that arrive a byte at a time and hold a daemon's connections.
func TestCrowdOfTrickledBodies(t *testing.T) {
	c := newCrowdTest(t)
	c.arrive(c.addresses.Callers, func(conn net.Conn, i int) {
		for ok := write(conn, []byte(postHeader(i, wholeBodyField))); ok; time.Sleep(100 * time.Millisecond) {
			ok = write(conn, []byte("{"))
		}
	})
	c.checkBounds()
}

// Guards against clients that end their direction within a body and hold a daemon's connections.
func TestCrowdOfHalfClosedConnections(t *testing.T) {
	c, body := newCrowdTest(t), crowdBody()
	c.arrive(c.addresses.Callers, func(conn net.Conn, i int) {
		_ = write(conn, []byte(postHeader(i, wholeBodyField))) && write(conn, body)
		_ = conn.(*net.TCPConn).CloseWrite()
	})
	c.checkBounds()
}

// Guards against connections that send nothing and take a daemon's descriptors.
func TestCrowdOfSilentConnections(t *testing.T) {
	c := newCrowdTest(t)
	c.arrive(c.addresses.Callers, func(net.Conn, int) {})
	c.checkBounds()
}

// Guards against pipelined requests, the last of them unfinished, that take a daemon's memory.
func TestCrowdOfPipelinedRequests(t *testing.T) {
	c := newCrowdTest(t)
	get := "GET " + jobsPath + " HTTP/1.1\r\nHost: " + jobsHost + "\r\nX-Deadline-Ms: 3000\r\n\r\n"
	c.arrive(c.addresses.Callers, func(conn net.Conn, i int) {
		go func() { _, _ = io.Copy(io.Discard, conn) }()
		_ = write(conn, []byte(strings.Repeat(get, 20)+postHeader(i, wholeBodyField))) && write(conn, crowdBody())
	})
	c.checkBounds()
}

// Guards against answers that nobody reads and that fill a daemon's memory.
func TestCrowdThatReadsNoAnswers(t *testing.T) {
	c := newCrowdTest(t)
	gets := []byte(strings.Repeat("GET "+jobsPath+" HTTP/1.1\r\nHost: "+jobsHost+"\r\n\r\n", 500))
	c.arrive(c.addresses.Callers, func(conn net.Conn, _ int) {
		_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
		for write(conn, gets) {
			continue
		}
	})
	c.checkBounds()
}

// Guards against a second crowd that finds the memory of the first one still in use.
func TestCrowdThatFollowsAnother(t *testing.T) {
	c, body := newCrowdTest(t), crowdBody()
	send := func(conn net.Conn, i int) {
		_ = write(conn, []byte(postHeader(i, wholeBodyField))) && write(conn, body)
	}
	c.arrive(c.addresses.Callers, send)
	c.leave()
	c.arrive(c.addresses.Callers, send)
	c.checkBounds()
}

// Guards against strangers on the port for other daemons: messages of megabytes that stop short.
func TestCrowdAtThePeersPort(t *testing.T) {
	testCrowdAtThePeersPort(newCrowdTest(t), []byte{0xFD, 0x7F, 0xFF, 0xFF}) // 8 MiB
}

// Guards against strangers on that port who know what daemons accept and meet no limit of descriptors.
func TestCrowdAtThePeersPortThatMeetsTheMemoryFirst(t *testing.T) {
	testCrowdAtThePeersPort(newCrowdTestWith(t, defaultDescriptors), []byte{0xFD, 0x2F, 0xFF, 0xFF}, []byte{0xFD, 0x08, 0x00, 0x00}) // 3 and 0.5 MiB
}

// testCrowdAtThePeersPort sends a crowd whose messages begin with lengths in the encoding of encoding/gob.
func testCrowdAtThePeersPort(c *crowdTest, lengths ...[]byte) {
	part := make([]byte, 256<<10)
	c.arrive(c.addresses.Peers, func(conn net.Conn, i int) { _ = write(conn, lengths[i%len(lengths)]) && write(conn, part) })
	require.Eventually(c.t, func() bool {
		conn, err := net.DialTimeout("tcp", c.addresses.Peers, time.Second)
		if err != nil {
			return false
		}
		_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
		client, reply := rpc.NewClient(conn), false
		defer client.Close() //nolint:errcheck // The call is over.
		return client.Call("Cell.Yield", &struct{ Epoch int64 }{0}, &reply) == nil
	}, 20*time.Second, 100*time.Millisecond, "another daemon's call must be answered")
	c.checkBounds()
}

// Guards against strangers on the port for readiness: headers of hundreds of kilobytes that never end.
func TestCrowdAtTheReadinessPort(t *testing.T) {
	c := newCrowdTest(t)
	c.arrive(c.addresses.Ready, endlessHeader("/ready"))
	c.checkBounds()
}

// Guards against strangers on the port for metrics: headers of hundreds of kilobytes that never end.
func TestCrowdAtTheMetricsPort(t *testing.T) {
	c := newCrowdTest(t)
	c.arrive(c.addresses.Metrics, endlessHeader("/metrics"))
	require.Eventually(t, func() bool {
		resp, err := (&http.Client{Timeout: 2 * time.Second}).Get("http://" + c.addresses.Metrics + "/metrics")
		if err != nil {
			return false
		}
		defer resp.Body.Close() //nolint:errcheck // The body is read to its end.
		_, err = io.Copy(io.Discard, resp.Body)
		return err == nil && resp.StatusCode == http.StatusOK
	}, 20*time.Second, 100*time.Millisecond, "metrics must be answered")
	c.checkBounds()
}

// endlessHeader returns a function that sends 256 KiB of a header and no end of it.
func endlessHeader(path string) func(conn net.Conn, client int) {
	header := []byte("GET " + path + " HTTP/1.1\r\nHost: a\r\nX-Long: " + strings.Repeat("y", 256<<10))
	return func(conn net.Conn, _ int) { _ = write(conn, header) }
}
