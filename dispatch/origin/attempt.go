package origin

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"magnoliastand.example/api"
	"magnoliastand.example/dispatch"
	"magnoliastand.example/dispatch/record"
)

// Causes of attempts that ended without a complete response to the request.
var (
	errIDMismatch = errors.New("the answer is for another request")
	errIncomplete = errors.New("the answer is not whole")
	errTooLarge   = errors.New("the answer is too large")
)

// maxStatus is the highest response status passed on to callers.
const maxStatus = 599

// attemptResult is the result of an attempt.
type attemptResult struct {
	outcome dispatch.Outcome
	answer  *record.Answer
	// responseID is the request ID in the response header.
	responseID string
	// err is the reason why there is no response.
	err error
}

// client sends attempts to endpoints.
type client struct {
	transport        *http.Transport
	maxResponseBytes int64
	disabled         disabledChecks
}

// disabledChecks disables checks in tests.
type disabledChecks struct {
	responseID  bool // accept responses with a different request ID
	responseEnd bool // accept truncated responses and those delimited only by close
	startGate   bool // start attempts without repeating the checks after the grant
}

func newClient(l Limits) *client {
	dialer := &gatedDialer{Dialer: net.Dialer{Timeout: l.DialTimeout}}
	return &client{
		maxResponseBytes: l.MaxResponseBytes,
		transport: &http.Transport{
			DialContext:            dialer.dial,
			DisableCompression:     true,
			MaxConnsPerHost:        l.ConnsPerEndpoint,
			MaxIdleConnsPerHost:    l.IdleConnsPerEndpoint,
			IdleConnTimeout:        idleConnTimeout,
			MaxResponseHeaderBytes: maxResponseHeaderBytes,
		},
	}
}

func (c *client) close() { c.transport.CloseIdleConnections() }

// send performs one attempt. The gate decides whether it may start; ctx bounds
// its duration.
func (c *client) send(ctx context.Context, g *gate, grant dispatch.Grant, r *Request, id, team string, n int) attemptResult {
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if conn, ok := info.Conn.(*gatedConn); ok {
			conn.assign(g)
		}
	}}
	req, err := newEndpointRequest(httptrace.WithClientTrace(ctx, trace), grant, r, id, team, n)
	if err != nil {
		g.close(errStartDenied)
		return attemptResult{outcome: dispatch.OutcomeUnused, err: err}
	}
	res, err := c.transport.RoundTrip(req)
	if err != nil {
		return failedAttempt(g, err)
	}
	defer func() { _ = res.Body.Close() }()
	answer, err := c.readResponse(res, id)
	if err != nil {
		g.closeConn()
		return failedAttempt(g, err)
	}
	return completedAttempt(res, answer)
}

func failedAttempt(g *gate, err error) attemptResult {
	if g.close(errUnreachable) {
		return attemptResult{outcome: dispatch.OutcomeUnknown, err: err}
	}
	return attemptResult{outcome: dispatch.OutcomeUnused, err: err}
}

func completedAttempt(res *http.Response, answer *record.Answer) attemptResult {
	result := attemptResult{
		outcome:    dispatch.OutcomeAnswered,
		answer:     answer,
		responseID: res.Header.Get(api.HeaderRequestID),
	}
	switch {
	case res.StatusCode == http.StatusServiceUnavailable && api.Run(res.Header.Get(api.HeaderRun)) == api.RunNot:
		result.outcome = dispatch.OutcomeRefused
	case res.StatusCode >= http.StatusInternalServerError:
		result.outcome = dispatch.OutcomeFailed
	}
	return result
}

func newEndpointRequest(ctx context.Context, grant dispatch.Grant, r *Request, id, team string, n int) (*http.Request, error) {
	// Wrapping the reader prevents NewRequest from setting GetBody, so that the
	// transport cannot send the body a second time.
	var body io.Reader = http.NoBody
	if len(r.Body) > 0 {
		body = struct{ io.Reader }{bytes.NewReader(r.Body)}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+grant.Address+"/", body)
	if err != nil {
		return nil, errors.Wrapf(err, "endpoint %s", grant.Endpoint)
	}
	req.ContentLength = int64(len(r.Body))
	h := req.Header
	h.Set(api.HeaderRequestID, id)
	h.Set(api.HeaderQueue, r.Queue)
	h.Set(api.HeaderAttempt, strconv.Itoa(n))
	if team != "" {
		h.Set(api.HeaderTeam, team)
	}
	if r.ContentType != "" {
		h.Set("Content-Type", r.ContentType)
	}
	h.Set("User-Agent", "")
	return req, nil
}

// readResponse reads the response. It returns an error if the response is
// incomplete or does not carry the request ID id.
func (c *client) readResponse(res *http.Response, id string) (*record.Answer, error) {
	if echoed := res.Header.Values(api.HeaderRequestID); (len(echoed) != 1 || echoed[0] != id) && !c.disabled.responseID {
		return nil, errors.Wrapf(errIDMismatch, "echoed id %q", strings.Join(echoed, ","))
	}
	if res.StatusCode < http.StatusOK || res.StatusCode > maxStatus {
		return nil, errors.Wrapf(errIncomplete, "status %d", res.StatusCode)
	}
	if res.ContentLength < 0 && len(res.TransferEncoding) == 0 && !c.disabled.responseEnd {
		return nil, errors.Wrap(errIncomplete, "neither Content-Length nor chunks mark its end")
	}
	if res.ContentLength > c.maxResponseBytes {
		return nil, errors.Wrapf(errTooLarge, "%d bytes", res.ContentLength)
	}
	body, err := readBody(res.Body, res.ContentLength, c.maxResponseBytes)
	if err != nil && !c.disabled.responseEnd {
		return nil, err
	}
	return &record.Answer{Status: res.StatusCode, Fields: endToEndFields(res.Header), Body: body}, nil
}

func readBody(r io.Reader, length, limit int64) ([]byte, error) {
	if length == 0 {
		return nil, nil
	}
	if length > 0 {
		body := make([]byte, length)
		if n, err := io.ReadFull(r, body); err != nil {
			return body[:n], errors.Wrap(errIncomplete, err.Error())
		}
		// Reading up to EOF lets the transport reuse the connection.
		if n, err := r.Read(make([]byte, 1)); n > 0 || !errors.Is(err, io.EOF) {
			return nil, errors.Wrap(errIncomplete, "bytes past its length")
		}
		return body, nil
	}
	body, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, errors.Wrap(errIncomplete, err.Error())
	}
	if int64(len(body)) > limit {
		return nil, errors.Wrapf(errTooLarge, "more than %d bytes", limit)
	}
	return body, nil
}

// endToEndFields returns the header fields of a response that are passed on to
// the caller. It omits hop-by-hop fields and those that the origin sets itself.
func endToEndFields(h http.Header) []record.Field {
	fields := make([]record.Field, 0, len(h))
	for name, values := range h {
		if hopByHop(name) || namedByConnection(h, name) {
			continue
		}
		for _, v := range values {
			fields = append(fields, record.Field{Name: name, Value: v})
		}
	}
	return fields
}

func hopByHop(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Date",
		api.HeaderRequestID, api.HeaderRun, api.HeaderHome, api.HeaderQueue, api.HeaderTeam, api.HeaderAttempt:
		return true
	default:
		return false
	}
}

func namedByConnection(h http.Header, name string) bool {
	for _, v := range h["Connection"] {
		for option := range strings.SplitSeq(v, ",") {
			if strings.EqualFold(strings.TrimSpace(option), name) {
				return true
			}
		}
	}
	return false
}
