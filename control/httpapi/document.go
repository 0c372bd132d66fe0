package httpapi

import (
	"io"
	"net/http"
	"strconv"

	"github.com/goccy/go-yaml"
	"github.com/labstack/echo/v5"
	"github.com/pkg/errors"

	"magnoliastand.example/api"
	"magnoliastand.example/control"
)

// yamlMediaType is the media type of a YAML document.
const yamlMediaType = "application/yaml"

// documentReply is the JSON response to GET /v1/document.
type documentReply struct {
	Version         uint64        `json:"version"`
	DocumentVersion uint64        `json:"document_version"`
	Document        *api.Document `json:"document"`
}

// checkReply is the response to POST /v1/document/check for a valid document.
type checkReply struct {
	Valid bool `json:"valid"`
	// DocumentVersion is the document version in force, the base version for applying
	// the document.
	DocumentVersion uint64 `json:"document_version"`
}

// historyReply is the response to GET /v1/document/history.
type historyReply struct {
	Documents []control.HistoryEntry `json:"documents"`
}

func (h *handlers) applyDocument(c *echo.Context, operator string) error {
	op, err := operationID(c)
	if err != nil {
		return err
	}
	base, err := strconv.ParseUint(headerOrQuery(c, HeaderBaseVersion, paramBase), 10, 64)
	if err != nil {
		return fieldProblem(HeaderBaseVersion, "the document version that this one builds on is required; 0 for the first")
	}
	wait, err := waitTime(c)
	if err != nil {
		return err
	}
	doc, err := readDocument(c)
	if err != nil {
		return err
	}
	r, err := h.propose(c, &control.Command{ApplyDocument: &control.ApplyDocument{
		OperationID: op,
		Actor:       operator,
		BaseVersion: base,
		Document:    doc,
	}})
	if err != nil {
		return err
	}
	setDocumentVersion(c, r.DocumentVersion)
	return c.JSON(http.StatusOK, h.awaitInForce(c.Request().Context(), &r, wait))
}

func (h *handlers) checkDocument(c *echo.Context, _ string) error {
	if _, err := readDocument(c); err != nil {
		return err
	}
	return c.JSON(http.StatusOK, checkReply{Valid: true, DocumentVersion: h.service.View().DocumentVersion()})
}

// readDocument reads, parses and validates the document in the request body.
func readDocument(c *echo.Context) (api.Document, error) {
	text, err := readBody(c, api.MaxDocumentBytes)
	if err != nil {
		return api.Document{}, err
	}
	doc, err := api.LoadDocument(text)
	var derr *api.DocumentError
	if errors.As(err, &derr) {
		return doc, documentProblem(derr.Faults)
	}
	return doc, err
}

// readBody reads a request body of at most limit bytes.
func readBody(c *echo.Context, limit int64) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, api.NewProblem(http.StatusRequestEntityTooLarge, api.CodeBodyTooLarge, api.RunNot,
			"the body has more than "+strconv.FormatInt(limit, 10)+" bytes")
	}
	if err != nil {
		return nil, fieldProblem("", "the body could not be read: %s", err)
	}
	return body, nil
}

// getDocument returns the document in force as JSON, or as YAML if the query
// parameter "format" is "yaml".
func (h *handlers) getDocument(c *echo.Context, _ string) error {
	if err := h.service.Barrier(c.Request().Context()); err != nil {
		return unavailableProblem(api.RunNot, "the control quorum does not answer: "+err.Error())
	}
	v := h.service.View()
	setDocumentVersion(c, v.DocumentVersion())
	if c.QueryParam(paramFormat) != "yaml" {
		return c.JSON(http.StatusOK, documentReply{
			Version:         v.Version(),
			DocumentVersion: v.DocumentVersion(),
			Document:        v.Document(),
		})
	}
	text, err := yaml.Marshal(v.Document())
	if err != nil {
		return errors.Wrap(err, "encode the document as YAML")
	}
	return c.Blob(http.StatusOK, yamlMediaType, text)
}

func (h *handlers) getHistory(c *echo.Context, _ string) error {
	entries, err := h.service.History(c.Request().Context())
	if err != nil {
		return unavailableProblem(api.RunNot, "the control quorum does not answer: "+err.Error())
	}
	return c.JSON(http.StatusOK, historyReply{Documents: entries})
}
