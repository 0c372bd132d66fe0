package console

import (
	"crypto/rand"
	"net/http"

	"github.com/labstack/echo/v5"

	"magnoliastand.example/control"
)

// keysData is the data of the keys page. Text is the key just granted, shown once.
type keysData struct {
	Keys []control.KeyRecord
	Text string
}

func (c *console) showKeys(ec *echo.Context) error {
	return c.render(ec, http.StatusOK, "keys", page{Title: "Keys", Data: keysData{Keys: c.service.View().Keys("")}})
}

func (c *console) grantKey(ec *echo.Context) error {
	key := control.NewKey()
	return c.changeKeys(ec, key.Text, &control.Command{GrantKey: &control.GrantKey{
		OperationID: "console-" + rand.Text(), Team: ec.FormValue("team"), Label: ec.FormValue("label"), KeyID: key.ID, Hash: key.Hash,
	}})
}

func (c *console) withdrawKey(ec *echo.Context) error {
	return c.changeKeys(ec, "", &control.Command{WithdrawKey: &control.WithdrawKey{
		OperationID: "console-" + rand.Text(), KeyID: ec.FormValue("key_id"),
	}})
}

func (c *console) changeKeys(ec *echo.Context, text string, cmd *control.Command) error {
	ctx := ec.Request().Context()
	r, err := c.service.Propose(ctx, cmd)
	p := page{Title: "Keys", Notice: "done"}
	status := http.StatusOK
	switch {
	case err != nil:
		p.Notice, p.Fault, status, text = "no answer came from the control log; look at the list before you try again", true, http.StatusServiceUnavailable, ""
	case r.Refusal != nil:
		p.Notice, p.Fault, status, text = r.Refusal.Error(), true, http.StatusUnprocessableEntity, ""
	}
	if err := c.service.Barrier(ctx); err != nil && !p.Fault {
		p.Notice = "done; this daemon's list may be older"
	}
	p.Data = keysData{Keys: c.service.View().Keys(""), Text: text}
	return c.render(ec, status, "keys", p)
}
