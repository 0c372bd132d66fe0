package worker

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"

	"github.com/pkg/errors"
)

// maxAnswerBytes bounds the answers that a worker reads.
const maxAnswerBytes = 8 << 20

// refusal is an answer of a status that repeating the call would not change.
type refusal struct{ status int }

// Error implements error.
func (r *refusal) Error() string { return fmt.Sprintf("the call was refused with status %d", r.status) }

func (w *Worker) path() string { return "/v1/workers/" + url.PathEscape(w.cfg.ID) }

func (w *Worker) taskPath(id string) string { return w.path() + "/tasks/" + url.PathEscape(id) }

// call sends a JSON body and decodes the answer into out unless it is nil.
func (w *Worker) call(ctx context.Context, method, path string, body, out any) error {
	text, err := json.Marshal(body)
	if err != nil {
		return errors.Wrap(err, "encode the call")
	}
	req, err := http.NewRequestWithContext(ctx, method, w.cfg.URL+path, bytes.NewReader(text))
	if err != nil {
		return errors.Wrap(err, "build the call")
	}
	req.Header.Set("Content-Type", "application/json")
	if w.cfg.Key != "" {
		req.Header.Set("Authorization", "Bearer "+w.cfg.Key)
	}
	resp, err := w.client.Do(req)
	if err != nil {
		return errors.Wrap(err, "call the system")
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return errors.Wrap(err, "read the answer")
	}
	switch {
	case resp.StatusCode == http.StatusConflict, resp.StatusCode == http.StatusNotFound, resp.StatusCode == http.StatusBadRequest:
		return errors.WithStack(&refusal{status: resp.StatusCode})
	case resp.StatusCode != http.StatusOK:
		return errors.Errorf("the call had status %d", resp.StatusCode)
	case out == nil:
		return nil
	}
	return errors.Wrap(json.Unmarshal(answer, out), "decode the answer")
}
