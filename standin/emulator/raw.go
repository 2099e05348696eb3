package emulator

import (
	"bufio"
	"io"
	"net"
	"net/http"
)

// ServeTCP has each connection to a free port of the loopback handled, and closed then. Connections are numbered from one.
func ServeTCP(handle func(conn *net.TCPConn, number int)) net.Listener {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	go func() {
		for number := 1; ; number++ {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				handle(conn.(*net.TCPConn), number)
			}()
		}
	}()
	return listener
}

// AnswerRequests reads the requests on a connection whole, one after the other, and has each answered, until answer returns false.
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
