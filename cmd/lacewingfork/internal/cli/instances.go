package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"lacewingfork.example/lacewingfork/callerapi"
)

const (
	// callTimeout bounds one call to an entry instance, so that an unresponsive
	// instance does not use up the command's timeout.
	callTimeout = 5 * time.Second
	// maxBodyBytes bounds a response body; a state dump is the largest.
	maxBodyBytes = 64 << 20
)

// errNotSent reports that no connection was made, so the call had no effect.
var errNotSent = errors.New("cannot connect")

// call sends a request to an entry instance and decodes a successful response.
// The error carries an exit code: Unreachable, Rejected or NotFound.
func (a *app) call(method, address, path string, body, result any) error {
	ctx, cancel := context.WithTimeout(a.ctx, callTimeout)
	defer cancel()
	var content io.Reader
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			return errors.Wrap(err, "encode request")
		}
		content = bytes.NewReader(encoded)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, content)
	if err != nil {
		return withExitCode(Usage, err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := a.env.HTTP.Do(request)
	if err != nil {
		if isDialError(err) {
			err = errors.Wrapf(errNotSent, "%s (%v)", address, err)
		}
		return withExitCode(Unreachable, err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxBodyBytes))
	if err != nil {
		return withExitCode(Unreachable, errors.Wrap(err, address))
	}
	return decodeResponse(address, response.StatusCode, data, result)
}

// decodeResponse maps a response status to an error with an exit code, or decodes
// the body of a successful response.
func decodeResponse(address string, status int, data []byte, result any) error {
	switch {
	case status == http.StatusNotFound:
		return failf(NotFound, "%s: not found", address)
	case status >= 500:
		return failf(Unreachable, "%s: status %d: %s", address, status, errorText(data))
	case status < 200 || status > 299:
		return failf(Rejected, "%s: status %d: %s", address, status, errorText(data))
	case result == nil:
		return nil
	}
	if err := json.Unmarshal(data, result); err != nil {
		return withExitCode(Unreachable, errors.Wrapf(err, "%s: decode JSON response", address))
	}
	return nil
}

// errorText returns the error message in a response body, or the start of the
// body if it holds none.
func errorText(data []byte) string {
	var body callerapi.ErrorResponse
	if err := json.Unmarshal(data, &body); err == nil && body.Error != "" {
		return body.Error
	}
	return string(bytes.TrimSpace(data[:min(len(data), 200)]))
}

// reply is the response or the error of one instance.
type reply[T any] struct {
	Address string `json:"address"`
	Error   string `json:"error,omitempty"`
	Answer  T      `json:"answer,omitempty"`
	err     error
}

// queryAll sends a GET request to every operations address concurrently. The
// replies are in the order of the addresses.
func queryAll[T any](a *app, path string) ([]reply[T], error) {
	if len(a.options.Operations) == 0 {
		return nil, failf(Usage, "no operations address given; set --operations or LACEWINGFORK_OPERATIONS")
	}
	replies := make([]reply[T], len(a.options.Operations))
	var calls sync.WaitGroup
	for i, address := range a.options.Operations {
		calls.Go(func() {
			r := &replies[i]
			r.Address = address
			if r.err = a.call(http.MethodGet, address, path, nil, &r.Answer); r.err != nil {
				r.Error = r.err.Error()
			}
		})
	}
	calls.Wait()
	return replies, nil
}

// unreachableError joins the errors of the instances without a response; nil
// when all responded.
func unreachableError[T any](replies []reply[T]) error {
	var failed []error
	for _, r := range replies {
		if r.err != nil {
			failed = append(failed, r.err)
		}
	}
	if len(failed) == 0 {
		return nil
	}
	return withExitCode(Unreachable, errors.Join(failed...))
}

// isDialError reports whether a call failed before it was sent.
func isDialError(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}
