package crowd

import (
	"bytes"
	"compress/gzip"
	"encoding/base64"
	"errors"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetrelay/limpetrelay/internal/storage/logservice"
	"github.com/limpetrelay/limpetrelay/peer"
	"github.com/limpetrelay/limpetrelay/standin"
	"github.com/limpetrelay/limpetrelay/upstream"
	"github.com/limpetrelay/limpetrelay/wire"
)

// startServe starts a host with `limpetrelay serve`, with a worker.
func startServe(t *testing.T, maxDescriptors int) *host {
	log, dir := &standin.Log{}, &standin.Directory{}
	worker := &standin.Worker{Name: "w1", DataCentre: "dc", Rack: "r1", Incarnation: "i1"}
	services, orders := http.NewServeMux(), http.NewServeMux()
	logservice.Register(services, log.Service(), dir.Service())
	upstream.Register(orders, worker.Upstream())
	address := func(handler http.Handler) string {
		s := httptest.NewServer(handler)
		t.Cleanup(s.Close)
		return s.Listener.Addr().String()
	}
	ip := loopbackIP(1)
	h := &host{t: t, memoryMB: memoryMB, maxDescriptors: maxDescriptors, readyPath: "/readyz", callers: freeAddress(t, ip), peers: freeAddress(t, ip)}
	h.ready = h.callers
	dir.Set(logservice.Host{Name: worker.Name, Kind: logservice.KindWorker, DataCentre: "dc", Address: address(orders)})
	dir.Set(logservice.Host{Name: "host-1", Kind: logservice.KindEntry, DataCentre: "dc", Address: h.peers})
	other := peer.NewClient(http.DefaultClient, "http://"+h.peers)
	h.submit = func(id string) bool {
		_, err := other.Tail(t.Context(), peer.TailRequest{Host: "host-2"})
		status := h.post("/v1/jobs", serveJob("team", id, 3000, `{"run":10}`), nil)
		return (status == http.StatusOK || status == http.StatusAccepted) && err == nil
	}
	h.start(fmt.Sprintf("host = \"host-1\"\ndataCentre = \"dc\"\nregion = \"r\"\nlisten = %q\npeerListen = %q\nplatform = %q\n[limits]\nmemoryMB = %d\nmaxDescriptors = %d\n",
		h.callers, h.peers, "http://"+address(services), memoryMB, maxDescriptors), "serve")
	require.Equal(t, http.StatusOK, h.post("/v1/config/patches", `{"base":0,"author":"op","changes":[{"setOrganisation":{"name":"crew"}},{"setOrganisation":{"name":"team"}}]}`, nil))
	return h
}

// serveJob returns a submission whose caller waits up to wait milliseconds for its end.
func serveJob(organisation, key string, wait int, payload string) string {
	return fmt.Sprintf(`{"organisation":%q,"class":"c","key":%q,"wait":%d,"payload":%q}`, organisation, key, wait, base64.StdEncoding.EncodeToString([]byte(payload)))
}

const (
	serveRequest = "POST /v1/jobs HTTP/1.1\r\nHost: crowd.example\r\nContent-Type: application/json\r\n"
	patchRequest = "POST /v1/config/patches HTTP/1.1\r\nHost: crowd.example\r\n"
	peerRequest  = "POST /peer/tail HTTP/1.1\r\nHost: crowd.example\r\nContent-Type: application/cbor\r\n"
	// serveBodyBytes is the size of a large body from a caller, and messageBytes that of the largest message.
	serveBodyBytes, messageBytes = 140_000, 4 << 20
)

// short returns a function that sends a request whose body of n bytes stops before its end,
// save for every eighth client. format formats each part of the body.
func short(line, header string, n, part int, format func(string) string) func(net.Conn, int) {
	var parts []string
	for sent := 0; sent < n-1; sent += part {
		parts = append(parts, format(strings.Repeat(" ", min(part, n-1-sent))))
	}
	last := format("{")
	if strings.HasPrefix(header, "Transfer") {
		last += "0\r\n\r\n"
	}
	return func(c net.Conn, i int) { sendParts(c, i, line+header, append(parts[:len(parts):len(parts)], last)...) }
}

// randomPayload returns a payload of the largest size that cannot be compressed.
func randomPayload(i int) string {
	b := make([]byte, 64<<10)
	_, _ = rand.New(rand.NewSource(int64(i))).Read(b)
	return string(b)
}

// largePatch returns a patch of a version that adds as many classes as it may.
func largePatch(base int) string {
	var changes []string
	for i := range 256 {
		changes = append(changes, fmt.Sprintf(`{"setClass":{"name":"%s-%d-%d"}}`, strings.Repeat("n", 100), base, i))
	}
	return fmt.Sprintf(`{"base":%d,"author":"op","changes":[%s]}`, base, strings.Join(changes, ","))
}

func chunk(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }

// whole returns a function that sends requests with the body that text returns for each client.
func whole(header string, text func(i int) string) func(net.Conn, int) {
	return func(c net.Conn, i int) {
		b := text(i)
		sendParts(c, 0, header+length(len(b)), b[:1], b[1:])
	}
}

// inTurn makes the clients come one after the other, so that none of them is refused on arrival.
func inTurn(d time.Duration, send func(net.Conn, int)) func(net.Conn, int) {
	return func(c net.Conn, i int) {
		time.Sleep(time.Duration(i) * d)
		send(c, i)
	}
}

func length(n int) string { return fmt.Sprintf("Content-Length: %d\r\n", n) }

// Guards against clients of `limpetrelay serve` that exceed the limits, at both addresses.
func TestServe(t *testing.T) {
	const chunked, header = "Transfer-Encoding: chunked\r\n", " HTTP/1.1\r\nHost: crowd.example\r\n"
	emptyLines := func(c net.Conn, _ int) { repeat(c, "\r\n", endless) }
	always := func(text string) func(int) string { return func(int) string { return text } }
	repeated := func(line, text string) func(net.Conn, int) {
		return func(c net.Conn, _ int) { _ = write(c, line) && repeat(c, text, endless) }
	}
	once := func(text string) func(net.Conn, int) { return func(c net.Conn, _ int) { write(c, text) } }
	unread := func(text string) func(net.Conn, int) { return func(c net.Conn, _ int) { sendUnread(c, text) } }
	b, err := wire.Encode(peer.TailRequest{Host: "host-2", From: 1 << 20, Wait: 600_000})
	require.NoError(t, err)
	poll := string(b)
	var compressed bytes.Buffer
	z := gzip.NewWriter(&compressed)
	_, err = z.Write(make([]byte, messageBytes))
	require.NoError(t, errors.Join(err, z.Close()))
	emptyChanges := `{"base":1,"author":"op","changes":[{}` + strings.Repeat(",{}", 80_000) + "]}"
	largeJob := func(wait int, payload func(int) string) func(int) string {
		return func(i int) string { return serveJob("crew", fmt.Sprint("large-", i), wait, payload(i)) }
	}
	longJob := serveJob("crew", "long", 600_000, `{"run":600000}`)
	fetch, longPoll := strings.Replace(peerRequest, "tail", "fetch", 1), peerRequest+length(len(poll))+"\r\n"+poll
	for name, x := range map[string]struct {
		clients, descriptors int
		atPeers              bool
		send                 func(c net.Conn, i int)
	}{
		"headers":           {800, descriptors, false, repeated(serveRequest, headerLine)},
		"peerHeaders":       {800, descriptors, true, repeated(peerRequest, headerLine)},
		"emptyLines":        {800, descriptors, false, emptyLines},
		"peerEmptyLines":    {800, descriptors, true, emptyLines},
		"bodies":            {2500, descriptors, false, short(serveRequest, length(serveBodyBytes), serveBodyBytes, 16<<10, strings.Clone)},
		"largeChunks":       {2500, descriptors, false, short(serveRequest, chunked, serveBodyBytes, 64<<10, chunk)},
		"smallChunks":       {600, descriptors, false, short(serveRequest, chunked, serveBodyBytes, 16<<10, strings.NewReplacer(" ", chunk(" "), "{", chunk("{")).Replace)},
		"peerMessages":      {200, descriptors, true, short(peerRequest, length(messageBytes), messageBytes, 64<<10, strings.Clone)},
		"peerLargeChunks":   {200, descriptors, true, short(peerRequest, chunked, messageBytes, 1<<20, chunk)},
		"peerSmallMessages": {2500, descriptors, true, short(peerRequest, length(60_000), 60_000, 16<<10, strings.Clone)},
		"peerGetBodies":     {400, descriptors, true, short(strings.Replace(fetch, "POST", "GET", 1), length(4000), 4000, 1000, strings.Clone)},
		"patches":           {1200, descriptors, false, short(patchRequest, length(250_000), 250_000, 16<<10, strings.Clone)},
		"growingPatches":    {300, descriptors, false, whole(patchRequest, always(emptyChanges))},
		"peerCompressed":    {800, descriptors, true, whole(peerRequest+"Content-Encoding: gzip\r\n", always(compressed.String()))},
		"idle":              {900, fewDescriptors, false, func(net.Conn, int) {}},
		"peerIdle":          {900, fewDescriptors, true, func(net.Conn, int) {}},
		"wholeJobs":         {1000, descriptors, false, whole(serveRequest, largeJob(0, always(strings.Repeat(" ", 64<<10-20)+`{"run":10}`)))},
		"jobsInTurn":        {1000, descriptors, false, inTurn(4*time.Millisecond, whole(serveRequest, largeJob(1000, randomPayload)))},
		"patchesInTurn":     {200, descriptors, false, inTurn(20*time.Millisecond, whole(patchRequest, func(i int) string { return largePatch(i + 1) }))},
		"reports":           {900, descriptors, false, unread("GET /v1/status" + header + "\r\nGET /v1/config/history" + header + "\r\n")},
		"peerFetches":       {400, descriptors, true, once(fetch + length(1) + "\r\n\xa0")},
		"peerPolls":         {400, descriptors, true, unread(peerRequest + length(4) + "\r\n\xa1af\x00")},
		"unread":            {1000, descriptors, false, unread("GET /readyz" + header + "\r\n")},
		"peerUnread":        {1000, descriptors, true, unread(longPoll)},
		"waiting":           {900, fewDescriptors, false, once(serveRequest + length(len(longJob)) + "\r\n" + longJob)},
		"peerWaiting":       {900, fewDescriptors, true, once(longPoll)},
	} {
		t.Run(name, func(t *testing.T) {
			h := startServe(t, x.descriptors)
			if name == "peerFetches" || name == "peerPolls" {
				for i := range 100 {
					require.Equal(t, http.StatusAccepted, h.post("/v1/jobs", largeJob(0, randomPayload)(i), nil))
				}
			}
			run(h, x.clients, map[bool]string{false: h.callers, true: h.peers}[x.atPeers], x.send)
		})
	}
}
