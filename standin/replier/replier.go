// Package replier writes the replies of the stand-ins' HTTP interfaces.
package replier

import (
	"encoding/json"
	"io"
	"net/http"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

// maxMessageBytes bounds the body of a request that holds one message.
const maxMessageBytes = 1 << 20

// Send writes a message in JSON form.
func Send(w http.ResponseWriter, status int, message proto.Message) {
	body, err := protojson.Marshal(message)
	if err != nil {
		Fail(w, http.StatusInternalServerError, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

// SendValue writes a value of the stand-in's own format.
func SendValue(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

// Fail writes an error with its message.
func Fail(w http.ResponseWriter, status int, err error) {
	SendValue(w, status, errorReply{Error: err.Error()})
}

type errorReply struct {
	Error string `json:"error"`
}

// Receive reads a message in JSON form; on false it has already answered with status 400.
func Receive(w http.ResponseWriter, r *http.Request, message proto.Message) bool {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxMessageBytes))
	if err == nil {
		err = protojson.Unmarshal(body, message)
	}
	if err != nil {
		Fail(w, http.StatusBadRequest, err)
		return false
	}
	return true
}

// Abort ends the handler and closes the connection without an answer.
func Abort() { panic(http.ErrAbortHandler) }
