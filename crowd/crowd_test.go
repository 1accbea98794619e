package crowd

import (
	"bufio"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// descriptors is limits.max_fds where the crowd is to exceed the memory, and fewDescriptors
	// where it is to exceed the descriptors.
	descriptors, fewDescriptors = 2000, 700
	// patience bounds the time of one client, for the case that the host hangs.
	patience = 60 * time.Second
	// settle is the time for which the crowd stays after it has sent its requests.
	settle = time.Second
	// unreadTime bounds the time of one client that reads no responses.
	unreadTime = 4 * time.Second
	// jobID is the ID of the one job that the complete requests of a crowd submit.
	jobID = "00000000000000aa"
	// endless is the size of headers without an end, in bytes.
	endless = 4 << 20
)

// run sends a request from each of n clients at once to address and keeps the connections
// open until the host has been checked. send returns once the host closes the connection.
func run(h *host, n int, address string, send func(c net.Conn, i int)) {
	h.addJobs(jobBody, 10, jobID)
	defer gather(n, func(int) string { return address }, send)()
	// The host has yet to accept and read what the kernel holds.
	time.Sleep(settle)
	h.check()
}

// gather sends a request from each of n clients at once to its address, and returns a function
// that closes the connections.
func gather(n int, address func(i int) string, send func(c net.Conn, i int)) func() {
	var wg sync.WaitGroup
	conns := make(chan net.Conn, n)
	for i := range n {
		wg.Go(func() {
			c, err := net.DialTimeout("tcp", address(i), patience)
			if err != nil {
				return
			}
			conns <- c
			_ = c.SetDeadline(time.Now().Add(patience))
			send(c, i)
		})
	}
	wg.Wait()
	close(conns)
	return func() {
		for c := range conns {
			_ = c.Close()
		}
	}
}

// write writes text until the end or the first error.
func write(c net.Conn, text string) bool {
	_, err := io.WriteString(c, text)
	return err == nil
}

// repeat writes text until n bytes are written or the host closes the connection.
func repeat(c net.Conn, text string, n int) bool {
	block := strings.Repeat(text, max(1, 16<<10/len(text)))
	for ; n > 0; n -= len(block) {
		if !write(c, block) {
			return false
		}
	}
	return true
}

const requestLine = "POST /batch/" + jobID + " HTTP/1.1\r\nHost: crowd.example\r\nCredential: key-a\r\n"

// headerLine has 100 bytes.
var headerLine = "X-Pad: " + strings.Repeat("p", 91) + "\r\n"

// largestBody returns a job of bodyBytes bytes.
func largestBody() string {
	return jobBody[:len(jobBody)-1] + `,"pad":"` + strings.Repeat("p", bodyBytes-len(jobBody)-9) + `"}`
}

// sendUnread sends requests without an end and reads no response.
func sendUnread(c net.Conn, request string) {
	_ = c.SetDeadline(time.Now().Add(unreadTime))
	_ = repeat(c, request, endless)
}

// sendBody sends a request whose body has the given parts. Only every eighth client sends the
// last part and reads the response.
func sendBody(c net.Conn, i int, header string, parts ...string) {
	sendParts(c, i, requestLine+header, parts...)
}

// sendParts is sendBody with the whole header except for its last line.
func sendParts(c net.Conn, i int, header string, parts ...string) {
	if !write(c, header+"\r\n") {
		return
	}
	for _, p := range parts[:len(parts)-1] {
		if !write(c, p) {
			return
		}
	}
	if i%8 == 0 && write(c, parts[len(parts)-1]) {
		_ = readResponse(c)
	}
}

// readResponse returns the status of a response, or 0 if there is none.
func readResponse(c net.Conn) int {
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, res.Body)
	_ = res.Body.Close()
	return res.StatusCode
}

// Guards against headers over the limit that are kept in memory up to net/http's own limit.
func TestHeadersOverTheLimit(t *testing.T) {
	h := startHost(t, descriptors)
	run(h, 300, h.callers, func(c net.Conn, _ int) { _ = write(c, requestLine) && repeat(c, headerLine, 900<<10) })
}

// Guards against headers without an end.
func TestHeadersWithoutEnd(t *testing.T) {
	h := startHost(t, descriptors)
	run(h, 300, h.callers, func(c net.Conn, _ int) { _ = write(c, requestLine) && repeat(c, headerLine, endless) })
}

// Guards against a single header line without an end, of which net/http keeps several copies.
func TestHeaderLineWithoutEnd(t *testing.T) {
	h := startHost(t, descriptors)
	run(h, 300, h.callers, func(c net.Conn, _ int) { _ = write(c, requestLine+"X-Pad: ") && repeat(c, "p", endless) })
}

// Guards against empty lines without an end before a request, also before the second one.
func TestEmptyLinesWithoutEnd(t *testing.T) {
	h := startHost(t, descriptors)
	run(h, 300, h.callers, func(c net.Conn, i int) {
		if i%2 == 0 {
			sendBody(c, 0, fmt.Sprintf("Content-Length: %d\r\n", len(jobBody)), "", jobBody)
		}
		repeat(c, "\r\n", endless)
	})
}

// Guards against many whole bodies of legal size at once.
func TestWholeBodies(t *testing.T) {
	h := startHost(t, descriptors)
	text := largestBody()
	run(h, 1000, h.callers, func(c net.Conn, _ int) {
		sendBody(c, 0, fmt.Sprintf("Content-Length: %d\r\n", len(text)), text[:1], text[1:])
	})
}

// Guards against bodies of legal size in pieces, most of which stop short of their end.
func TestBodiesInPieces(t *testing.T) {
	h := startHost(t, descriptors)
	text := largestBody()
	const piece = 16 << 10
	var parts []string
	for i := 0; i < len(text); i += piece {
		parts = append(parts, text[i:min(i+piece, len(text)-1)])
	}
	parts = append(parts, text[len(text)-1:])
	run(h, 1000, h.callers, func(c net.Conn, i int) { sendBody(c, i, fmt.Sprintf("Content-Length: %d\r\n", len(text)), parts...) })
}

// Guards against chunked bodies in large chunks, most of which stop short of their end.
func TestLargeChunks(t *testing.T) {
	h := startHost(t, descriptors)
	text := largestBody()
	half := len(text) / 2
	run(h, 1000, h.callers, func(c net.Conn, i int) {
		sendBody(c, i, "Transfer-Encoding: chunked\r\n", chunk(text[:half]), chunk(text[half:]), "0\r\n\r\n")
	})
}

// Guards against chunked bodies in chunks of one byte, most of which stop short of their end.
func TestOneByteChunks(t *testing.T) {
	h := startHost(t, descriptors)
	var chunks strings.Builder
	for _, b := range []byte(largestBody()) {
		fmt.Fprintf(&chunks, "1\r\n%c\r\n", b)
	}
	run(h, 600, h.callers, func(c net.Conn, i int) {
		sendBody(c, i, "Transfer-Encoding: chunked\r\n", chunks.String(), "0\r\n\r\n")
	})
}

// Guards against bodies that take many times their size when they are decoded.
func TestBodiesThatGrow(t *testing.T) {
	h := startHost(t, descriptors)
	text := `{"steps":[{}` + strings.Repeat(",{}", (bodyBytes-14)/3) + "]}"
	run(h, 300, h.callers, func(c net.Conn, _ int) {
		sendBody(c, 0, fmt.Sprintf("Content-Length: %d\r\n", len(text)), text[:1], text[1:])
	})
}

// Guards against jobs of legal size that stay in memory, at many times their size, once they
// are accepted: each client submits one of its own.
func TestLargeJobs(t *testing.T) {
	for name, field := range map[string]string{"after": `"after":[0` + strings.Repeat(",0", 100_000) + "]", "image": `"image":"` + strings.Repeat("p", 200_000) + `"`} {
		t.Run(name, func(t *testing.T) {
			h := startHost(t, descriptors)
			text := strings.Replace(jobBody, "}]}", `},{"count":1,"cpu":1000,"mem_mb":64,"est_ms":10,`+field+"}]}", 1)
			id := func(i int) string { return fmt.Sprintf("%016x", 4096+i) }
			var ids []string
			for i := range 600 {
				ids = append(ids, id(i))
			}
			h.addJobs(text, 60_000, ids...)
			run(h, 600, h.callers, func(c net.Conn, i int) {
				// The clients come one after the other, so that none of them is refused on arrival.
				time.Sleep(time.Duration(i) * 5 * time.Millisecond)
				line := strings.Replace(requestLine, jobID, id(i), 1)
				if write(c, line+fmt.Sprintf("Content-Length: %d\r\n\r\n", len(text))) && write(c, text) {
					_ = readResponse(c)
				}
			})
		})
	}
}

// Guards against timeouts that close the connection of a slow but legal caller.
func TestSlowBody(t *testing.T) {
	h := startHost(t, descriptors)
	h.addJobs(jobBody, 10, jobID)
	c, err := net.Dial("tcp", h.callers)
	require.NoError(t, err)
	text := largestBody()
	require.True(t, write(c, requestLine+fmt.Sprintf("Content-Length: %d\r\n\r\n", len(text))))
	for i := 0; i < len(text); i += bodyBytes / 12 {
		time.Sleep(230 * time.Millisecond)
		require.True(t, write(c, text[i:min(i+bodyBytes/12, len(text))]))
	}
	require.Equal(t, http.StatusOK, readResponse(c))
	h.check()
}

// Guards against responses that are not read, and requests behind them, which fill the kernel's
// buffers.
func TestUnreadResponses(t *testing.T) {
	h := startHost(t, descriptors)
	run(h, 1000, h.callers, func(c net.Conn, _ int) {
		sendUnread(c, "GET /batch/"+jobID+" HTTP/1.1\r\nHost: crowd.example\r\nCredential: key-a\r\n\r\n")
	})
}

// Guards against clients that connect again and again, and fill the queues of connections that
// are not accepted yet.
func TestReconnectingClients(t *testing.T) {
	h := startHost(t, fewDescriptors)
	end, request := time.Now().Add(unreadTime), requestLine+length(bodyBytes)+"\r\n"+largestBody()[1:]
	run(h, 400, h.callers, func(c net.Conn, _ int) {
		for err := error(nil); err == nil && time.Now().Before(end); c, err = net.DialTimeout("tcp", []string{h.callers, h.ready, h.metrics}[rand.Intn(3)], time.Second) {
			_ = c.SetDeadline(end)
			_ = write(c, request)
			_ = c.Close()
		}
	})
}

// Guards against connections without a request that take all descriptors.
func TestIdleConnections(t *testing.T) {
	h := startHost(t, fewDescriptors)
	run(h, 900, h.callers, func(net.Conn, int) {})
}

// Guards against headers without an end, and connections without a request, at the addresses
// of the readiness check and of the metrics.
func TestOtherAddresses(t *testing.T) {
	for _, name := range []string{"ready", "metrics"} {
		address := func(h *host) string { return map[string]string{"ready": h.ready, "metrics": h.metrics}[name] }
		t.Run(name+"Headers", func(t *testing.T) {
			h := startHost(t, descriptors)
			run(h, 300, address(h), func(c net.Conn, _ int) { _ = write(c, requestLine) && repeat(c, headerLine, endless) })
		})
		t.Run(name+"Idle", func(t *testing.T) {
			h := startHost(t, fewDescriptors)
			run(h, 900, address(h), func(net.Conn, int) {})
		})
	}
}
