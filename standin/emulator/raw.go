package emulator

import (
	"bufio"
	"io"
	"net"
	"net/http"
)

// ServeTCP listens at a free port of the loopback, and calls handle for each connection, as Serve does.
func ServeTCP(handle func(conn *net.TCPConn, number int)) net.Listener {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	go Serve(listener, func(conn net.Conn, number int) { handle(conn.(*net.TCPConn), number) })
	return listener
}

// Serve calls handle for each connection of a listener, in a goroutine of its own, and closes the connection when handle returns.
// Connections are numbered from one. Serve returns when the listener is closed.
func Serve(listener net.Listener, handle func(conn net.Conn, number int)) {
	for number := 1; ; number++ {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			handle(conn, number)
		}()
	}
}

// AnswerRequests reads the requests on a connection one after the other, with their bodies, and calls answer for each until that
// returns false.
func AnswerRequests(conn net.Conn, answer func(*http.Request) bool) {
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		if !answer(request) {
			return
		}
	}
}
