package operator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"strconv"
	"strings"

	"github.com/go-kit/kit/endpoint"
	kithttp "github.com/go-kit/kit/transport/http"
)

// PlacementPath is the path of the requests that the handler of NewPlacementHandler serves, and
// PlacementPattern their http.ServeMux pattern.
const (
	PlacementPath    = "/placement"
	PlacementPattern = "GET " + PlacementPath
)

// PlacementQuery specifies an opening packet whose placement is explained.
type PlacementQuery struct {
	// Service is the name of the service.
	Service string
	Caller  netip.AddrPort
	// Size is the payload size of the packet in bytes.
	Size int
}

// UnknownServiceError reports that a daemon knows no service of a name.
type UnknownServiceError struct {
	Name string
	// Known holds the names that it knows, in order.
	Known []string
}

// Error implements error.
func (e UnknownServiceError) Error() string {
	return fmt.Sprintf("no service %q; known are: %s", e.Name, strings.Join(e.Known, ", "))
}

// StatusCode returns the HTTP status code of the response.
func (e UnknownServiceError) StatusCode() int { return http.StatusNotFound }

// QueryError reports a malformed query, or one that has no answer.
type QueryError struct{ Err error }

// Error implements error.
func (e QueryError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e QueryError) Unwrap() error { return e.Err }

// StatusCode returns the HTTP status code of the response.
func (e QueryError) StatusCode() int { return http.StatusBadRequest }

// NotReadyError reports that a daemon has no valid view, so that it places no flows now.
type NotReadyError struct{ Process string }

// Error implements error.
func (e NotReadyError) Error() string {
	return fmt.Sprintf("process %s is not ready: it has no valid view, so it places no flows now", e.Process)
}

// StatusCode returns the HTTP status code of the response.
func (e NotReadyError) StatusCode() int { return http.StatusServiceUnavailable }

// NewPlacementHandler returns a handler that calls explain for each request and serves the result
// as JSON. An error is served as JSON with the key "error" and, if it has a method StatusCode,
// with that status.
func NewPlacementHandler(explain func(PlacementQuery) (Placement, error)) http.Handler {
	var placementEndpoint endpoint.Endpoint = func(_ context.Context, request any) (any, error) {
		return explain(request.(PlacementQuery))
	}
	return kithttp.NewServer(placementEndpoint, decodePlacementQuery, kithttp.EncodeJSONResponse, kithttp.ServerErrorEncoder(encodeError))
}

// decodePlacementQuery reads the parameters service, caller and size. size defaults to 0.
func decodePlacementQuery(_ context.Context, r *http.Request) (any, error) {
	parameters := r.URL.Query()
	query := PlacementQuery{Service: parameters.Get("service")}
	if query.Service == "" {
		return nil, QueryError{errors.New("the parameter service is missing")}
	}
	caller, err := ParseCaller(parameters.Get("caller"))
	if err != nil {
		return nil, QueryError{fmt.Errorf("caller %w", err)}
	}
	query.Caller = caller
	if text := parameters.Get("size"); text != "" {
		if query.Size, err = strconv.Atoi(text); err != nil || query.Size < 0 {
			return nil, QueryError{fmt.Errorf("size %q is not a number of bytes", text)}
		}
	}
	return query, nil
}

// ParseCaller reads the IPv4 address and port of a caller.
func ParseCaller(text string) (netip.AddrPort, error) {
	caller, err := netip.ParseAddrPort(text)
	if err != nil || !caller.Addr().Is4() {
		return netip.AddrPort{}, fmt.Errorf("%q is not an IPv4 address and port such as 10.1.0.1:40000", text)
	}
	return caller, nil
}

// ErrorResponse is the body of a response to a request that failed.
type ErrorResponse struct {
	Error string `json:"error"`
}

// encodeError serves an error.
func encodeError(_ context.Context, err error, w http.ResponseWriter) {
	status := http.StatusInternalServerError
	if coder, hasCode := err.(kithttp.StatusCoder); hasCode {
		status = coder.StatusCode()
	}
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	w.WriteHeader(status)
	// An error means that the client has closed the connection.
	_ = json.NewEncoder(w).Encode(ErrorResponse{err.Error()})
}
