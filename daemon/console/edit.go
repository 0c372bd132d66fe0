package console

import (
	"crypto/rand"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"

	"github.com/goccy/go-yaml"
	"github.com/labstack/echo/v5"
	"github.com/pkg/errors"

	"magnoliastand.example/api"
	"magnoliastand.example/control"
)

// showEdit shows the document in force as forms.
func (c *console) showEdit(ec *echo.Context) error {
	if err := c.service.Barrier(ec.Request().Context()); err != nil {
		return c.render(ec, http.StatusServiceUnavailable, "message", page{Title: "Fleet", Notice: "the control quorum can't be reached from here; nothing can be changed now", Fault: true})
	}
	v := c.service.View()
	return c.render(ec, http.StatusOK, "edit", page{Title: "Fleet", Data: newEditForm(v.Document(), v.DocumentVersion(), nil)})
}

// reviewData is the data of the review page.
type reviewData struct {
	Base      uint64
	Operation string
	Document  string
	Lines     []diffLine
}

// review validates a form and shows what it would change.
func (c *console) review(ec *echo.Context) error {
	base, err := strconv.ParseUint(ec.FormValue("base"), 10, 64)
	if err != nil {
		return c.render(ec, http.StatusBadRequest, "message", page{Title: "Refused", Notice: "base: is not a version", Fault: true})
	}
	v := c.service.View()
	if v.DocumentVersion() != base {
		return c.conflict(ec, base, v.DocumentVersion())
	}
	doc, faults := readEditForm(*v.Document(), ec.Request().Form)
	faults = append(faults, doc.Validate()...)
	if len(faults) > 0 {
		return c.render(ec, http.StatusUnprocessableEntity, "edit", page{
			Title: "Fleet", Notice: fmt.Sprintf("%d faults; nothing was changed", len(faults)), Fault: true, Data: newEditForm(&doc, base, faults),
		})
	}
	data, err := newReview(v.Document(), &doc, base)
	if err != nil {
		return err
	}
	return c.render(ec, http.StatusOK, "review", page{Title: "Review", Data: data})
}

func newReview(old, doc *api.Document, base uint64) (reviewData, error) {
	before, err := yaml.Marshal(old)
	if err != nil {
		return reviewData{}, errors.Wrap(err, "document in force")
	}
	after, err := yaml.Marshal(doc)
	if err != nil {
		return reviewData{}, errors.Wrap(err, "new document")
	}
	body, err := json.Marshal(doc)
	if err != nil {
		return reviewData{}, errors.Wrap(err, "new document")
	}
	return reviewData{Base: base, Operation: "console-" + rand.Text(), Document: string(body), Lines: diff(string(before), string(after))}, nil
}

// apply applies a reviewed document on its base version.
func (c *console) apply(ec *echo.Context) error {
	base, err := strconv.ParseUint(ec.FormValue("base"), 10, 64)
	if err != nil {
		return c.render(ec, http.StatusBadRequest, "message", page{Title: "Refused", Notice: "base: is not a version", Fault: true})
	}
	doc, err := api.LoadDocument([]byte(ec.FormValue("document")))
	if err != nil {
		return c.render(ec, http.StatusUnprocessableEntity, "message", page{Title: "Refused", Notice: err.Error(), Fault: true})
	}
	r, err := c.service.Propose(ec.Request().Context(), &control.Command{ApplyDocument: &control.ApplyDocument{
		OperationID: ec.FormValue("operation"), Actor: operatorOf(ec), BaseVersion: base, Document: doc,
	}})
	if err != nil {
		return c.render(ec, http.StatusServiceUnavailable, "message", page{
			Title: "Outcome not known", Fault: true,
			Notice: "no answer came from the control log; load this page again to send the same operation, which is carried out once",
		})
	}
	if r.Refusal != nil && r.Refusal.Code == control.RefusedConflict {
		return c.conflict(ec, base, r.Refusal.CurrentVersion)
	}
	if r.Refusal != nil {
		return c.render(ec, http.StatusUnprocessableEntity, "message", page{Title: "Refused", Notice: r.Refusal.Error(), Fault: true})
	}
	return c.render(ec, http.StatusOK, "message", page{Title: "Applied", Notice: fmt.Sprintf("version %d is accepted", r.DocumentVersion)})
}

// conflict shows that another operator's change came first.
func (c *console) conflict(ec *echo.Context, base, current uint64) error {
	return c.render(ec, http.StatusConflict, "message", page{
		Title: "Conflict", Fault: true,
		Notice: fmt.Sprintf("your form builds on version %d, but another operator brought version %d into force; nothing was changed. Load the forms again and repeat your change", base, current),
	})
}

func operatorOf(ec *echo.Context) string {
	if s, ok := ec.Get(sessionKey).(*session); ok {
		return s.operator
	}
	return ""
}
