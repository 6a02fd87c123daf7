// Package platform reads the documents that operators publish on the platform, as JSON over
// HTTP with long polling.
package platform

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/go-kit/kit/endpoint"
	kithttp "github.com/go-kit/kit/transport/http"

	"github.com/radishmast/radishmast/internal/core/fleet"
)

// MaxDocumentSize is the size of the largest document accepted, in bytes. A larger one is cut
// off and does not decode.
const MaxDocumentSize = 4 << 20

// waitMargin is the time that a read may take in addition to its wait.
const waitMargin = 5 * time.Second

// ErrUnchanged reports that the platform has no newer revision of a document.
var ErrUnchanged = errors.New("document unchanged")

// Name is the name of a published document.
type Name string

// Names of the documents that the platform publishes.
const (
	Services  Name = "services"
	Backends  Name = "backends"
	Instances Name = "instances"
)

// Names returns the names of all documents.
func Names() []Name { return []Name{Services, Backends, Instances} }

// Client reads documents from a platform.
type Client struct {
	base *url.URL
	get  endpoint.Endpoint
}

// readRequest holds the arguments of Client.Read.
type readRequest struct {
	name  Name
	after fleet.Revision
	wait  time.Duration
}

// New returns a client of the platform at the URL base.
func New(base string, transport http.RoundTripper) (*Client, error) {
	parsed, err := url.Parse(base)
	if err != nil {
		return nil, fmt.Errorf("invalid platform URL %q: %w", base, err)
	}
	if parsed.Path == "" {
		parsed.Path = "/"
	}
	c := &Client{base: parsed}
	httpClient := &http.Client{Transport: transport}
	c.get = kithttp.NewClient(http.MethodGet, parsed, c.encodeRequest, decodeResponse, kithttp.SetClient(httpClient)).Endpoint()
	return c, nil
}

// Read returns the named document if its revision is higher than after. Otherwise the platform
// waits up to wait for a newer revision, and Read returns ErrUnchanged if there is none.
func (c *Client) Read(ctx context.Context, name Name, after fleet.Revision, wait time.Duration) (fleet.Document, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+waitMargin)
	defer cancel()
	response, err := c.get(ctx, readRequest{name: name, after: after, wait: wait})
	if err != nil {
		return nil, fmt.Errorf("read %s from platform %s: %w", name, c.base.Host, err)
	}
	return Decode(name, response.([]byte))
}

// Decode decodes and validates a document. It fails for an unknown name.
func Decode(name Name, data []byte) (fleet.Document, error) {
	var document fleet.Document
	switch name {
	case Services:
		document = new(fleet.ServicesDocument)
	case Backends:
		document = new(fleet.BackendsDocument)
	case Instances:
		document = new(fleet.InstancesDocument)
	default:
		return nil, fmt.Errorf("document %q is not one of %v", name, Names())
	}
	if err := json.Unmarshal(data, document); err != nil {
		return nil, fmt.Errorf("decode document %s: %w", name, err)
	}
	if err := document.Validate(); err != nil {
		return nil, err
	}
	return document, nil
}

// encodeRequest sets the URL of a request for a document.
func (c *Client) encodeRequest(_ context.Context, r *http.Request, req any) error {
	read := req.(readRequest)
	query := url.Values{"wait": {strconv.FormatFloat(read.wait.Seconds(), 'f', 1, 64)}}
	SetAfter(query, read.after)
	r.URL = c.base.JoinPath("v1", string(read.name))
	r.URL.RawQuery = query.Encode()
	return nil
}

// decodeResponse returns the encoded document, or ErrUnchanged.
func decodeResponse(_ context.Context, response *http.Response) (any, error) {
	switch response.StatusCode {
	case http.StatusOK:
		return io.ReadAll(io.LimitReader(response.Body, MaxDocumentSize))
	case http.StatusNotModified:
		return nil, ErrUnchanged
	}
	return nil, fmt.Errorf("unexpected HTTP status %s", response.Status)
}
