package recorder

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/julienschmidt/httprouter"
	"google.golang.org/protobuf/encoding/protojson"

	"rosemaryspool.example/adaptor/appender"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/standin/replier"
	"rosemaryspool.example/wire/messenger"
)

// maxAppendBytes bounds the body of an append request.
const maxAppendBytes = 16 << 20

// Handler returns the log's HTTP interface, including its fault switches.
func (l *Log) Handler() http.Handler {
	router := httprouter.New()
	router.POST("/v1/streams/:stream/records", l.serveAppend)
	router.GET("/v1/streams/:stream/records", l.serveRead)
	l.Switches.Register(router)
	return router
}

// serveAppend appends records; an unknown outcome closes the connection without a response.
func (l *Log) serveAppend(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxAppendBytes))
	if err != nil {
		replier.Fail(w, http.StatusBadRequest, err)
		return
	}
	var request messenger.AppendRequest
	if err := protojson.Unmarshal(body, &request); err != nil {
		replier.Fail(w, http.StatusBadRequest, err)
		return
	}
	offset, err := l.Append(r.Context(), appender.Stream(params.ByName("stream")), request.Records)
	if errors.Is(err, appender.ErrOutcomeUnknown) {
		replier.Abort()
	}
	if err != nil {
		replier.Fail(w, http.StatusServiceUnavailable, err)
		return
	}
	replier.Send(w, http.StatusOK, &messenger.AppendReply{Offset: uint64(offset)})
}

// serveRead returns records. For a trimmed offset it returns status 410 and the first retained offset.
func (l *Log) serveRead(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	query := r.URL.Query()
	from, errFrom := strconv.ParseUint(query.Get("from"), 10, 64)
	limit, errLimit := strconv.Atoi(query.Get("limit"))
	waitMS, errWait := strconv.ParseUint(query.Get("waitMs"), 10, 32)
	if err := errors.Join(errFrom, errLimit, errWait); err != nil {
		replier.Fail(w, http.StatusBadRequest, err)
		return
	}
	wait := time.Duration(waitMS) * time.Millisecond
	name := appender.Stream(params.ByName("stream"))
	batch, err := l.Read(r.Context(), name, identifier.Offset(from), limit, wait)
	var trimmed *appender.TrimmedError
	if errors.As(err, &trimmed) {
		replier.Send(w, http.StatusGone, &messenger.ReadReply{FirstOffset: uint64(trimmed.FirstOffset)})
		return
	}
	if err != nil {
		replier.Fail(w, http.StatusServiceUnavailable, err)
		return
	}
	replier.Send(w, http.StatusOK, encodeBatch(batch))
}

func encodeBatch(batch appender.Batch) *messenger.ReadReply {
	reply := &messenger.ReadReply{FirstOffset: uint64(batch.FirstOffset), EndOffset: uint64(batch.EndOffset)}
	for _, e := range batch.Entries {
		reply.Entries = append(reply.Entries, &messenger.LogEntry{Offset: uint64(e.Offset), Record: e.Record})
	}
	return reply
}
