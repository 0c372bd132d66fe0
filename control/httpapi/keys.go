package httpapi

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"time"

	"github.com/labstack/echo/v5"

	"magnoliastand.example/api"
	"magnoliastand.example/control"
)

// grantRequest is the optional body of a key grant. With KeyID and Hash the
// operator has generated the key and its text never leaves the operator, which
// makes a repeated call safe; without them the daemon generates the key.
type grantRequest struct {
	Label string `json:"label"`
	KeyID string `json:"key_id"`
	// Hash is the SHA-256 of the key's text, in hex.
	Hash string `json:"hash"`
}

// grantReply is the answer to a key grant.
type grantReply struct {
	change
	KeyID string `json:"key_id"`
	// Key is the text of the key, shown only here. It is empty if the operator
	// generated the key, or if the call repeats an operation whose answer was
	// lost: the key is then withdrawn and another one granted.
	Key string `json:"key,omitempty"`
}

// keyInfo describes a key without its secret or hash.
type keyInfo struct {
	ID        string    `json:"id"`
	Team      string    `json:"team"`
	Label     string    `json:"label,omitempty"`
	GrantedAt time.Time `json:"granted_at"`
	Version   uint64    `json:"version"`
}

// keyList is the answer to a list of keys.
type keyList struct {
	Version uint64    `json:"version"`
	Keys    []keyInfo `json:"keys"`
}

func (h *handlers) grantKey(c *echo.Context, _ string) error {
	op, err := operationID(c)
	if err != nil {
		return err
	}
	wait, err := waitTime(c)
	if err != nil {
		return err
	}
	req, err := readGrant(c)
	if err != nil {
		return err
	}
	key, err := req.key()
	if err != nil {
		return err
	}
	r, err := h.propose(c, &control.Command{GrantKey: &control.GrantKey{
		OperationID: op,
		Team:        c.Param(paramTeam),
		Label:       req.Label,
		KeyID:       key.ID,
		Hash:        key.Hash,
	}})
	if err != nil {
		return err
	}
	reply := grantReply{change: h.spread(c.Request().Context(), &r, wait), KeyID: r.KeyID}
	if r.KeyID == key.ID {
		reply.Key = key.Text
	}
	c.Response().Header().Set("Cache-Control", "no-store")
	return c.JSON(http.StatusCreated, reply)
}

func readGrant(c *echo.Context) (grantRequest, error) {
	var req grantRequest
	body, err := readBody(c, maxKeyRequestBytes)
	if err != nil || len(body) == 0 {
		return req, err
	}
	dec := json.NewDecoder(bytes.NewReader(body))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&req); err != nil {
		return req, fieldProblem("", "the body is not a key request: %s", err)
	}
	return req, nil
}

// key returns the operator's own key without its text, or a new one.
func (r *grantRequest) key() (control.Key, error) {
	if len(r.Label) > control.MaxLabelLen {
		return control.Key{}, fieldProblem("label", "the label has more than %d bytes", control.MaxLabelLen)
	}
	if r.KeyID == "" && r.Hash == "" {
		return control.NewKey(), nil
	}
	key := control.Key{ID: r.KeyID}
	raw, err := hex.DecodeString(r.Hash)
	if err != nil || len(raw) != len(key.Hash) {
		return key, fieldProblem("hash", "the hash is not %d bytes in hex", len(key.Hash))
	}
	copy(key.Hash[:], raw)
	return key, nil
}

func (h *handlers) withdrawKey(c *echo.Context, _ string) error {
	op, err := operationID(c)
	if err != nil {
		return err
	}
	wait, err := waitTime(c)
	if err != nil {
		return err
	}
	r, err := h.propose(c, &control.Command{WithdrawKey: &control.WithdrawKey{
		OperationID: op,
		KeyID:       c.Param(paramKey),
	}})
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, h.spread(c.Request().Context(), &r, wait))
}

// listKeys lists the valid keys of a team or of all teams.
func (h *handlers) listKeys(c *echo.Context, _ string) error {
	v := h.service.View()
	team := c.Param(paramTeam)
	if _, ok := v.Index().Team(team); team != "" && !ok {
		return api.NewProblem(http.StatusNotFound, api.CodeNotFound, api.RunNot, "there is no such team")
	}
	list := keyList{Version: v.Version(), Keys: []keyInfo{}}
	for _, k := range v.Keys(team) {
		list.Keys = append(list.Keys, keyInfo{
			ID:        k.ID,
			Team:      k.Team,
			Label:     k.Label,
			GrantedAt: time.UnixMilli(k.UnixMilli).UTC(),
			Version:   k.Version,
		})
	}
	return c.JSON(http.StatusOK, list)
}
