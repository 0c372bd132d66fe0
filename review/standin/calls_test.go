package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// answer is what a call got; status 0 means no answer.
type answer struct {
	status int
	body   []byte
}

// caller makes HTTP calls on channels of its own.
type caller struct{ http *http.Client }

func newCaller() *caller {
	return &caller{&http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}}
}

func (c *caller) call(timeout time.Duration, method, address, host, path string, header map[string]string, body any) answer {
	var raw io.Reader
	switch b := body.(type) {
	case nil:
	case []byte:
		raw = bytes.NewReader(b)
	default:
		encoded, err := json.Marshal(b)
		if err != nil {
			panic(err)
		}
		raw = bytes.NewReader(encoded)
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, raw)
	if err != nil {
		panic(err)
	}
	if raw != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	if host != "" {
		req.Host = host
	}
	for k, v := range header {
		req.Header.Set(k, v)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return answer{}
	}
	defer func() { _ = resp.Body.Close() }()
	got, err := io.ReadAll(resp.Body)
	if err != nil {
		return answer{}
	}
	return answer{resp.StatusCode, got}
}

// operator sends orders to the daemons that serve control, as PROTOCOL.md tells.
type operator struct {
	*caller
	rec      *record
	controls []string
	next     int
}

// order sends one order again until it has a clear answer. The limit bounds the whole.
func (o *operator) order(limit time.Duration, what, method, path string, body any) answer {
	end := time.Now().Add(limit)
	wait := 50 * time.Millisecond
	for time.Now().Before(end) {
		to := o.controls[o.next%len(o.controls)]
		a := o.call(time.Second, method, to, "", path, nil, body)
		o.rec.note("operator: %s to %s: %d %.80s", what, to, a.status, a.body)
		switch a.status {
		case 200, 400, 404, 409, 412, 413, 422:
			return a
		}
		o.next++
		time.Sleep(wait)
		wait = min(2*wait, 500*time.Millisecond)
	}
	return answer{}
}

func (o *operator) put(c *config) answer {
	return o.order(15*time.Second, fmt.Sprintf("configuration %d", c.version), "POST", "/config/put", c.wire())
}

// config is a configuration.
type config struct {
	version  int
	routes   []route
	services []string
	keys     map[string][]string // by tenant
}

type route struct {
	name, prefix, service string
	attempts              int
}

const host = "cake.example"

func (c *config) wire() map[string]any {
	routes, services, tenants := []any{}, []any{}, []any{}
	for _, r := range c.routes {
		routes = append(routes, map[string]any{"name": r.name, "host": host, "path_prefix": r.prefix, "kind": "unsafe", "timeout_ms": 3000,
			"target_latency_ms": 600, "priority": 1, "service": r.service, "max_attempts": r.attempts, "stretch": 1.6, "public": false})
	}
	for _, s := range c.services {
		services = append(services, map[string]any{"name": s, "health_path": "/health", "max_conns": 64, "protocol": "h1", "tls": false,
			"rejects_overload": false, "standby": false})
	}
	for name, keys := range c.keys {
		tenants = append(tenants, map[string]any{"name": name, "api_keys": keys, "priority": 1, "weight": 1,
			"max_count": map[string]any{"cpu": 0, "mem_mb": 0, "gpu": 0}})
	}
	return map[string]any{"version": c.version, "routes": routes, "services": services, "tenants": tenants,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}
}

// client is a caller of the front addresses. Its time budget is 3 s.
type client struct {
	*caller
	rec *record
	key string
}

const budget = 3 * time.Second

func (c *client) do(method, front, path string, body any) answer {
	begun := time.Now()
	a := c.call(budget, method, front, host, path, map[string]string{
		"Authorization": "Bearer " + c.key, "Magnoliastand-Deadline-Ms": fmt.Sprint(budget.Milliseconds())}, body)
	c.rec.note("client: %s %s at %s: %d %.80s after %d ms", method, path, front, a.status, a.body, time.Since(begun).Milliseconds())
	return a
}

// quiet gets a job's state without a line in the record.
func (c *client) quiet(front, path string) string {
	return string(c.call(time.Second, "GET", front, host, path, map[string]string{"Authorization": "Bearer " + c.key}, nil).body)
}

// job is a job of one step.
func job(spec string, count int, estimate time.Duration) map[string]any {
	return map[string]any{"spec": spec, "steps": []any{map[string]any{"count": count, "cpu": 500, "mem_mb": 256, "estimate_ms": estimate.Milliseconds()}}}
}
