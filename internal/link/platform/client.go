// Package platform reads the documents that operators publish, by HTTP and JSON
// with a waiting read.
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

// MaxDocumentSize is the largest document accepted, in bytes.
const MaxDocumentSize = 4 << 20

// waitMargin is how much longer than the wait a read may take.
const waitMargin = 5 * time.Second

// ErrUnchanged reports that there is no newer revision.
var ErrUnchanged = errors.New("document unchanged")

// Name is the name of a published document.
type Name string

// Names of documents.
const (
	Services  Name = "services"
	Backends  Name = "backends"
	Instances Name = "instances"
)

// Names lists all documents.
func Names() []Name { return []Name{Services, Backends, Instances} }

// Client reads documents.
type Client struct {
	base *url.URL
	get  endpoint.Endpoint
}

type readRequest struct {
	name  Name
	after uint64
	wait  time.Duration
}

// New returns a client of the platform at a base URL.
func New(base string, transport http.RoundTripper) (*Client, error) {
	parsed, err := url.Parse(base)
	if err != nil {
		return nil, fmt.Errorf("platform URL %q: %w", base, err)
	}
	if parsed.Path == "" {
		parsed.Path = "/"
	}
	c := &Client{base: parsed}
	httpClient := &http.Client{Transport: transport}
	c.get = kithttp.NewClient(http.MethodGet, parsed, c.encodeRequest, decodeResponse, kithttp.SetClient(httpClient)).Endpoint()
	return c, nil
}

// Read returns the document if its revision is higher than after, and otherwise
// waits for a change until the wait is over and returns ErrUnchanged.
func (c *Client) Read(ctx context.Context, name Name, after uint64, wait time.Duration) (fleet.Document, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+waitMargin)
	defer cancel()
	response, err := c.get(ctx, readRequest{name: name, after: after, wait: wait})
	if err != nil {
		return nil, fmt.Errorf("read %s from platform %s: %w", name, c.base.Host, err)
	}
	return Decode(name, response.([]byte))
}

// Decode reads a document of a known name and checks it.
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

func (c *Client) encodeRequest(_ context.Context, r *http.Request, req any) error {
	read := req.(readRequest)
	query := url.Values{
		"after": {strconv.FormatUint(read.after, 10)},
		"wait":  {strconv.FormatFloat(read.wait.Seconds(), 'f', 1, 64)},
	}
	r.URL = c.base.JoinPath("v1", string(read.name))
	r.URL.RawQuery = query.Encode()
	return nil
}

func decodeResponse(_ context.Context, response *http.Response) (any, error) {
	switch response.StatusCode {
	case http.StatusOK:
		return io.ReadAll(io.LimitReader(response.Body, MaxDocumentSize))
	case http.StatusNotModified:
		return nil, ErrUnchanged
	}
	return nil, fmt.Errorf("unexpected status %s", response.Status)
}
