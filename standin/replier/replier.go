// Package replier reads and writes the message bodies of the stand-ins' HTTP APIs.
package replier

import (
	"encoding/json"
	"io"
	"net/http"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

// maxMessageBytes limits a request body.
const maxMessageBytes = 1 << 20

// Send writes a protobuf message as JSON. It responds with status 500 if the message can't be encoded.
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

// SendValue writes a value that is not a protobuf message as JSON.
func SendValue(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

// Fail writes an error as a JSON object that holds its message.
func Fail(w http.ResponseWriter, status int, err error) {
	SendValue(w, status, errorResponse{Error: err.Error()})
}

type errorResponse struct {
	Error string `json:"error"`
}

// Receive reads a protobuf message from a JSON body and reports whether it succeeded. On failure it has responded with
// status 400.
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

// Abort ends the handler by a panic with http.ErrAbortHandler, which closes the connection without a response.
func Abort() { panic(http.ErrAbortHandler) }
