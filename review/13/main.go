// Command 13 shows that callers who send one request each and don't read the answer take a router over the memory of its host.
package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"agateswitch/review/11/rig"
)

const (
	// memoryMB and descriptors are those of a host in the sheet of Hoofline, and engines, services and tenants those of its installation.
	memoryMB    = 284
	descriptors = 4100
	engines     = 9
	services    = 3
	tenants     = 10
	timeout     = 30 * time.Second

	// callers is the number of the crowd's connections, of which the last largeCallers ask for large answers and the others for streams.
	// One comes every callerInterval, from one of callerAddresses addresses.
	callers, largeCallers = 1600, 60
	callerAddresses       = 100
	callerInterval        = 2 * time.Millisecond
	bodyBytes             = 36_000
	largeAnswerBytes      = 1 << 20
	shortAnswerBytes      = 800
	// events is the number of events of a stream, each of eventLines lines of lineBytes bytes.
	events, eventLines, lineBytes = 13, 600, 100
	// receiveBuffer keeps the kernel from taking the answers in the place of a caller that does not read.
	receiveBuffer = 4 << 10
	// watchTime is how long the router is watched after the last caller came.
	watchTime = 10 * time.Second
	workTime  = 10 * time.Millisecond
)

func main() {
	f := rig.New()
	f.Capacity = fmt.Sprintf(`{"cores": 0.4, "link_mbps": 1000, "memory_mb": %d, "descriptors": %d}`, memoryMB, descriptors)
	f.Routes = []any{
		rig.Route("report", "rounds-app", "idempotent", timeout, 300*time.Millisecond),
		rig.Route("plan", "farrier-lm", "streaming", timeout, 500*time.Millisecond),
	}
	f.Services = []any{rig.Service("rounds-app", false), rig.Service("farrier-lm", true)}
	for i := range tenants {
		f.Tenants = append(f.Tenants, map[string]any{"name": fmt.Sprintf("tenant-%d", i), "api_keys": []string{keyOf(i)}})
	}
	f.Configure()
	var runs atomic.Int64
	count := func(handle http.HandlerFunc) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			runs.Add(1)
			if _, err := io.Copy(io.Discard, r.Body); err == nil {
				handle(w, r)
			}
		}
	}
	for i := range services {
		f.Engine("rounds-app", fmt.Sprintf("i-app-%d", i), "arima", count(answer))
	}
	for i := range engines {
		f.Engine("farrier-lm", fmt.Sprintf("i-lm-%d", i), "arima", count(stream))
	}
	r := f.Add("arima")
	r.Start()
	r.AwaitState()
	client := rig.NewClient()
	ask := func(when string) {
		got := r.Send(client, "/report/short", "ordinary-"+strings.ReplaceAll(when, " ", "-"), "which", map[string]string{"Deadline-Ms": "3000"})
		f.Printf("ordinary request %s: answered with %d after %s, error %v; largest resident set %d kB, engines ran %d",
			when, got.Status, got.Took.Round(time.Millisecond), got.Err, r.MemoryKB(), runs.Load())
	}
	ask("before the crowd")
	var read atomic.Int64
	var open []net.Conn
	for i := range callers {
		if connection := come(f, r, i, &read); connection != nil {
			open = append(open, connection)
		}
		if i%200 == 199 {
			ask(fmt.Sprintf("beside %d callers", i+1))
		}
		time.Sleep(callerInterval)
	}
	for i := range int(watchTime / time.Second) {
		time.Sleep(time.Second)
		ask(fmt.Sprintf("%d s later", i+1))
	}
	most, limit := r.MemoryKB(), memoryMB<<10
	for _, connection := range open {
		connection.Close()
	}
	counts := fmt.Sprintf("%d callers, who have read %d bytes; the largest resident set is %d kB, of %d kB (%d MB); engines ran %d requests",
		len(open), read.Load(), most, limit, memoryMB, runs.Load())
	if r.HasEnded() || most > limit {
		f.End(rig.Broken, "Fault: "+counts)
	}
	f.End(rig.Held, "no fault: "+counts)
}

func keyOf(tenant int) string { return fmt.Sprintf("%s-%d", rig.Key, tenant) }

// answer answers like a sound service.
func answer(w http.ResponseWriter, r *http.Request) {
	time.Sleep(workTime)
	bytes := shortAnswerBytes
	if r.URL.Path == "/report/large" {
		bytes = largeAnswerBytes
	}
	w.Header().Set("Content-Length", strconv.Itoa(bytes))
	_, _ = io.WriteString(w, strings.Repeat("r", bytes))
}

// stream answers like a sound engine, with events of many lines.
func stream(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	const start, end = "data: ", "\n"
	data := strings.Repeat(start+strings.Repeat("p", lineBytes-len(start+end))+end, eventLines)
	for i := range events {
		if _, err := fmt.Fprintf(w, "id: %d\n%s\n", i+1, data); err != nil {
			return
		}
		w.(http.Flusher).Flush()
		select {
		case <-time.After(workTime):
		case <-r.Context().Done():
			return
		}
	}
}

// come opens a caller's connection and sends its request. With trouble, the caller reads nothing. It returns nil if there is no
// connection.
func come(f *rig.Fleet, r *rig.Router, number int, read *atomic.Int64) net.Conn {
	dialer := net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 1, byte(1+number%callerAddresses))}}
	connection, err := dialer.Dial("tcp", r.Callers)
	if err != nil {
		f.Printf("caller %d found no connection: %v", number, err)
		return nil
	}
	if rig.HasTrouble() {
		if err := connection.(*net.TCPConn).SetReadBuffer(receiveBuffer); err != nil {
			f.Fail("setting a receive buffer: %v", err)
		}
	} else {
		go func() {
			// It ends when the case closes the connection.
			bytes, _ := io.Copy(counter{read}, connection)
			f.Printf("caller %d: read %d bytes until the connection ended", number, bytes)
		}()
	}
	path := "/plan/1"
	if number >= callers-largeCallers {
		path = "/report/large"
	}
	f.Printf("caller %d sends a request to %s", number, path)
	go func() {
		_, err := fmt.Fprintf(connection, "POST %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: crowd-%d\r\nX-Api-Key: %s\r\nDeadline-Ms: %d\r\nContent-Length: %d\r\n\r\n%s",
			path, rig.Host, number, keyOf(number%tenants), timeout.Milliseconds(), bodyBytes, strings.Repeat("q", bodyBytes))
		if err != nil {
			f.Printf("caller %d could not send its request: %v", number, err)
		}
	}()
	return connection
}

// counter counts what is written to it.
type counter struct{ bytes *atomic.Int64 }

func (c counter) Write(text []byte) (int, error) {
	c.bytes.Add(int64(len(text)))
	return len(text), nil
}
