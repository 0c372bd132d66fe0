package main

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"

	"magnoliastand.example/api"
)

const (
	clientTimeout    = 30 * time.Second
	maxResponseBytes = 64 << 20
)

// client calls the operator interface of a daemon.
type client struct {
	server  string
	keyFile string
	key     string
	output  string
	streams streams
}

// register adds the flags that every verb of the operator interface has.
func (c *client) register(fs *flag.FlagSet) {
	fs.StringVar(&c.server, "server", "http://127.0.0.1:8200", "operator address of any daemon")
	fs.StringVar(&c.key, "operator-key", "", "operator key; prefer --operator-key-file or the environment")
	fs.StringVar(&c.keyFile, "operator-key-file", "", "file with the operator key")
	fs.StringVar(&c.output, "output", "text", "text or json")
}

// operatorKey returns the key from its file or flag.
func (c *client) operatorKey() (string, error) {
	if c.keyFile == "" {
		return c.key, nil
	}
	b, err := os.ReadFile(c.keyFile)
	if err != nil {
		return "", usageError("--operator-key-file: %v", err)
	}
	return strings.TrimSpace(string(b)), nil
}

// call sends one request and returns the response body. A problem document
// becomes an error with the exit code of its kind.
func (c *client) call(ctx context.Context, method, path string, header http.Header, body []byte) ([]byte, error) {
	key, err := c.operatorKey()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, clientTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, strings.TrimSuffix(c.server, "/")+path, bytes.NewReader(body))
	if err != nil {
		return nil, usageError("--server: %v", err)
	}
	for name, values := range header {
		req.Header[name] = values
	}
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "the daemon did not answer; name another with --server and send the same --operation-id again")
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return nil, errors.Wrap(err, "read answer")
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return nil, problemError(resp.StatusCode, b)
	}
	return b, nil
}

// problemError turns a problem document into an error that lists its faults.
func problemError(status int, body []byte) error {
	var p api.Problem
	if err := json.Unmarshal(body, &p); err != nil || p.Code == "" {
		return errors.Errorf("status %d: %s", status, bytes.TrimSpace(body))
	}
	lines := []string{fmt.Sprintf("%s: %s", p.Code, p.Detail)}
	for _, f := range p.Faults {
		lines = append(lines, "  "+f.String())
	}
	code := exitFailure
	if p.Code == api.CodeConflict {
		code = exitConflict
		lines = append(lines, "get the current document, merge your change and apply it on the current version")
	}
	return &exitError{code: code, err: errors.New(strings.Join(lines, "\n"))}
}

// print writes a JSON answer as it is, or hands it to text.
func (c *client) print(body []byte, text func(io.Writer) error) error {
	switch c.output {
	case "json":
		_, err := c.streams.out.Write(append(bytes.TrimSpace(body), '\n'))
		return errors.Wrap(err, "write")
	case "text":
		return text(c.streams.out)
	default:
		return usageError("--output: %q is neither text nor json", c.output)
	}
}

// printIndented writes a JSON answer indented, as the text form.
func (c *client) printIndented(body []byte) error {
	return c.print(body, func(w io.Writer) error {
		var b bytes.Buffer
		if err := json.Indent(&b, body, "", "  "); err != nil {
			return errors.Wrap(err, "answer is not JSON")
		}
		_, err := fmt.Fprintln(w, b.String())
		return errors.Wrap(err, "write")
	})
}
