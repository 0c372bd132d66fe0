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

// Causes of attempts that ended without a whole own answer.
var (
	errCrossed  = errors.New("the answer is for another request")
	errNotWhole = errors.New("the answer is not whole")
	errTooLarge = errors.New("the answer is too large")
)

// maxStatus is the highest status of an answer that is passed on.
const maxStatus = 599

// attemptEnd is how an attempt ended.
type attemptEnd struct {
	outcome dispatch.Outcome
	answer  *record.Answer
	// echoed is the request id that the answer names.
	echoed string
	// err tells why there is no answer.
	err error
}

// client sends attempts to endpoints.
type client struct {
	transport      *http.Transport
	maxAnswerBytes int64
	unguarded      unguarded
}

// unguarded switches protections off. Tests only.
type unguarded struct {
	id   bool // answers for other ids pass
	ends bool // answers without a marked end, or cut short, pass
	gate bool // attempts start whatever changed since the grant
}

func newClient(l Limits) *client {
	dialer := &gatedDialer{Dialer: net.Dialer{Timeout: l.DialTimeout}}
	return &client{
		maxAnswerBytes: l.MaxAnswerBytes,
		transport: &http.Transport{
			DialContext:            dialer.dial,
			DisableCompression:     true,
			MaxConnsPerHost:        l.ConnsPerEndpoint,
			MaxIdleConnsPerHost:    l.IdleConnsPerEndpoint,
			IdleConnTimeout:        idleConnTimeout,
			MaxResponseHeaderBytes: maxAnswerHeaderBytes,
		},
	}
}

func (c *client) close() { c.transport.CloseIdleConnections() }

// send runs one attempt. The gate decides about the start; ctx bounds the run.
func (c *client) send(ctx context.Context, g *gate, grant dispatch.Grant, r *Request, id, team string, n int) attemptEnd {
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if conn, ok := info.Conn.(*gatedConn); ok {
			conn.arm(g)
		}
	}}
	req, err := newEndpointRequest(httptrace.WithClientTrace(ctx, trace), grant, r, id, team, n)
	if err != nil {
		g.close(errGateClosed)
		return attemptEnd{outcome: dispatch.OutcomeUnused, err: err}
	}
	res, err := c.transport.RoundTrip(req)
	if err != nil {
		return failedEnd(g, err)
	}
	defer func() { _ = res.Body.Close() }()
	answer, err := c.read(res, id)
	if err != nil {
		g.abort()
		return failedEnd(g, err)
	}
	return wholeEnd(res, answer)
}

func failedEnd(g *gate, err error) attemptEnd {
	if g.close(errUnreachable) {
		return attemptEnd{outcome: dispatch.OutcomeUnknown, err: err}
	}
	return attemptEnd{outcome: dispatch.OutcomeUnused, err: err}
}

func wholeEnd(res *http.Response, answer *record.Answer) attemptEnd {
	end := attemptEnd{
		outcome: dispatch.OutcomeAnswered,
		answer:  answer,
		echoed:  res.Header.Get(api.HeaderRequestID),
	}
	switch {
	case res.StatusCode == http.StatusServiceUnavailable && api.Run(res.Header.Get(api.HeaderRun)) == api.RunNot:
		end.outcome = dispatch.OutcomeRefused
	case res.StatusCode >= http.StatusInternalServerError:
		end.outcome = dispatch.OutcomeFailed
	}
	return end
}

func newEndpointRequest(ctx context.Context, grant dispatch.Grant, r *Request, id, team string, n int) (*http.Request, error) {
	// An explicit body type keeps NewRequest from setting GetBody, so that the
	// transport cannot send the body twice.
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

// read returns the whole answer, or an error if it is not whole or not for id.
func (c *client) read(res *http.Response, id string) (*record.Answer, error) {
	if echoed := res.Header.Values(api.HeaderRequestID); (len(echoed) != 1 || echoed[0] != id) && !c.unguarded.id {
		return nil, errors.Wrapf(errCrossed, "echoed id %q", strings.Join(echoed, ","))
	}
	if res.StatusCode < http.StatusOK || res.StatusCode > maxStatus {
		return nil, errors.Wrapf(errNotWhole, "status %d", res.StatusCode)
	}
	if res.ContentLength < 0 && len(res.TransferEncoding) == 0 && !c.unguarded.ends {
		return nil, errors.Wrap(errNotWhole, "neither Content-Length nor chunks mark its end")
	}
	if res.ContentLength > c.maxAnswerBytes {
		return nil, errors.Wrapf(errTooLarge, "%d bytes", res.ContentLength)
	}
	body, err := readBody(res.Body, res.ContentLength, c.maxAnswerBytes)
	if err != nil && !c.unguarded.ends {
		return nil, err
	}
	return &record.Answer{Status: res.StatusCode, Fields: endToEnd(res.Header), Body: body}, nil
}

func readBody(r io.Reader, length, limit int64) ([]byte, error) {
	if length == 0 {
		return nil, nil
	}
	if length > 0 {
		body := make([]byte, length)
		if n, err := io.ReadFull(r, body); err != nil {
			return body[:n], errors.Wrap(errNotWhole, err.Error())
		}
		// Reading on to the end lets the transport use the connection again.
		if n, err := r.Read(make([]byte, 1)); n > 0 || !errors.Is(err, io.EOF) {
			return nil, errors.Wrap(errNotWhole, "bytes past its length")
		}
		return body, nil
	}
	body, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, errors.Wrap(errNotWhole, err.Error())
	}
	if int64(len(body)) > limit {
		return nil, errors.Wrapf(errTooLarge, "more than %d bytes", limit)
	}
	return body, nil
}

// endToEnd returns the header fields of an answer that a caller receives:
// neither those of the connection nor those that the origin sets itself.
func endToEnd(h http.Header) []record.Field {
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
