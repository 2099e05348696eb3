package verifier

import (
	"bufio"
	"errors"
	"net/http"
	"strings"

	"github.com/rotisserie/eris"
)

// ErrMalformed means that the head of a response isn't one that HTTP allows here. Nothing that it says can be trusted, nor where its
// body ends.
var ErrMalformed = errors.New("verifier: malformed response")

// ReadResponse reads the head of the response to a request with a method, as http.ReadResponse does, or returns
// ErrMalformed.
func ReadResponse(reader *bufio.Reader, method string) (*http.Response, error) {
	response, err := http.ReadResponse(reader, &http.Request{Method: method})
	if err != nil {
		return nil, err
	}
	if err := checkHead(response); err != nil {
		return nil, err
	}
	return response, nil
}

// minStatus is the lowest status of HTTP.
const minStatus = 100

// checkHead returns ErrMalformed for a response whose head net/http reads although it can't be one: with a status below 100, a
// switch of protocols, which no request asks for, or a blank in a field name. Other malformed statuses and names are errors of
// net/http.
func checkHead(response *http.Response) error {
	if response.StatusCode < minStatus || response.StatusCode == http.StatusSwitchingProtocols {
		return eris.Wrapf(ErrMalformed, "status %.64q", response.Status)
	}
	for name := range response.Header {
		if strings.Contains(name, " ") {
			return eris.Wrapf(ErrMalformed, "field name %.64q", name)
		}
	}
	return nil
}
