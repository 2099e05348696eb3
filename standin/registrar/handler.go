package registrar

import (
	"errors"
	"net/http"

	"github.com/julienschmidt/httprouter"

	"rosemaryspool.example/adaptor/lister"
	"rosemaryspool.example/core/identifier"
	"rosemaryspool.example/standin/replier"
	"rosemaryspool.example/wire/messenger"
)

var errMismatchedID = errors.New("registrar: id in the body differs from the path")

// Handler returns the list's HTTP interface, including its fault switches. The platform defines only the read; the
// requests that set and remove members exist only in the stand-in.
func (l *List) Handler() http.Handler {
	router := httprouter.New()
	router.GET("/v1/instances", l.serveList)
	router.PUT("/v1/instances/:id", l.serveSet)
	router.DELETE("/v1/instances/:id", l.serveRemove)
	l.Switches.Register(router)
	return router
}

func (l *List) serveList(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	members, err := l.Members(r.Context())
	if err != nil {
		replier.Fail(w, http.StatusServiceUnavailable, err)
		return
	}
	reply := &messenger.InstanceListing{}
	for _, m := range members {
		reply.Members = append(reply.Members, encodeMember(m))
	}
	replier.Send(w, http.StatusOK, reply)
}

func (l *List) serveSet(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	var listed messenger.ListedUpstream
	if !replier.Receive(w, r, &listed) {
		return
	}
	if listed.Id != params.ByName("id") {
		replier.Fail(w, http.StatusBadRequest, errMismatchedID)
		return
	}
	l.Set(lister.Member{
		ID:          listed.Id,
		Kind:        lister.Kind(listed.Kind),
		Address:     listed.Address,
		DataCentre:  identifier.DataCentre(listed.DataCentre),
		Leaving:     listed.Leaving,
		PeerAddress: listed.PeerAddress,
	})
	w.WriteHeader(http.StatusNoContent)
}

func (l *List) serveRemove(w http.ResponseWriter, _ *http.Request, params httprouter.Params) {
	l.Remove(params.ByName("id"))
	w.WriteHeader(http.StatusNoContent)
}

func encodeMember(member lister.Member) *messenger.ListedUpstream {
	return &messenger.ListedUpstream{
		Id:          member.ID,
		Kind:        string(member.Kind),
		Address:     member.Address,
		DataCentre:  string(member.DataCentre),
		Leaving:     member.Leaving,
		PeerAddress: member.PeerAddress,
	}
}
