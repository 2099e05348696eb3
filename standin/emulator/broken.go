package emulator

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
)

// maxReadBeforeReset is how much of a request's body a BrokenServer reads before it answers and resets the connection.
const maxReadBeforeReset = 64 << 10

// malformedNames holds lines of a response's head whose field names aren't HTTP.
var malformedNames = []string{
	"Name : x", "Bad Name: x", "Content-Length : 1", "Transfer-Encoding : chunked", "Na\x01me: x", "Na\tme: x", "\x00: x", ": x",
}

// malformedStatuses holds statuses that no response to a request may have, with a reason.
var malformedStatuses = []string{
	"000 Trouble", "000", "001 Trouble", "099 Trouble", "+20 Trouble", "-00 Trouble", "-20 Trouble", "20 Trouble", "abc Trouble",
	"101 Switching Protocols",
}

// MalformedHeads returns status lines and fields, without the version, that are no head of a response: some statuses, each with a
// malformed field name, and malformed statuses.
func MalformedHeads(statuses ...string) []string {
	heads := slices.Clone(malformedStatuses)
	for _, status := range statuses {
		for _, name := range malformedNames {
			heads = append(heads, status+"\r\n"+name)
		}
	}
	return heads
}

// BrokenServer answers each request over TCP with bytes that need not be an HTTP response, and ends the connection.
type BrokenServer struct {
	listener net.Listener
	arrivals atomic.Int64
}

// NewBrokenServer starts a server that answers with a text. With resets, it answers once it has read a part of a request, and resets
// the connection; otherwise it reads all of a request and closes the connection.
func NewBrokenServer(text string, resets bool) *BrokenServer {
	return startBroken(func(conn *net.TCPConn, request *http.Request) {
		if resets {
			_, _ = io.CopyN(io.Discard, request.Body, maxReadBeforeReset)
			_ = conn.SetLinger(0)
		} else {
			_, _ = io.Copy(io.Discard, request.Body)
		}
		_, _ = io.WriteString(conn, text)
	})
}

// NewEndlessServer starts a server that answers, once it has read the head of a request, with a start and then with a text without end.
func NewEndlessServer(start, repeated string) *BrokenServer {
	block := bytes.Repeat([]byte(repeated), 1+(64<<10)/len(repeated))
	return startBroken(func(conn *net.TCPConn, _ *http.Request) {
		_, err := io.WriteString(conn, start)
		for err == nil {
			_, err = conn.Write(block)
		}
	})
}

// startBroken starts a server that reads the head of one request on each connection and has it answered.
func startBroken(answer func(conn *net.TCPConn, request *http.Request)) *BrokenServer {
	s := &BrokenServer{}
	s.listener = ServeTCP(func(conn *net.TCPConn, _ int) {
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		s.arrivals.Add(1)
		answer(conn, request)
	})
	return s
}

// Address returns the address of the form IP:PORT.
func (s *BrokenServer) Address() string { return s.listener.Addr().String() }

// Arrivals returns the number of requests that have arrived.
func (s *BrokenServer) Arrivals() int { return int(s.arrivals.Load()) }

// Close stops the server.
func (s *BrokenServer) Close() { _ = s.listener.Close() }
