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

// grantRequest is the optional body of a key grant. If KeyID and Hash are set, the
// operator has generated the key and does not disclose its text, so that the request
// can be repeated safely. Otherwise the daemon generates the key.
type grantRequest struct {
	Label string `json:"label"`
	KeyID string `json:"key_id"`
	// Hash is the SHA-256 hash of the key's text, in hex.
	Hash string `json:"hash"`
}

// grantReply is the response to a key grant.
type grantReply struct {
	changeReply
	KeyID string `json:"key_id"`
	// Key is the text of the key, which no other response contains. It is empty if the
	// operator generated the key, or if the request repeats an operation whose
	// response was lost: the operator must then withdraw the key and grant another.
	Key string `json:"key,omitempty"`
}

// keyInfo describes a key, without secret and hash.
type keyInfo struct {
	ID        string    `json:"id"`
	Team      string    `json:"team"`
	Label     string    `json:"label,omitempty"`
	GrantedAt time.Time `json:"granted_at"`
	Version   uint64    `json:"version"`
}

// keyListReply is the response to a request for the keys of a team or of all teams.
type keyListReply struct {
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
	req, err := readGrantRequest(c)
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
	reply := grantReply{changeReply: h.awaitInForce(c.Request().Context(), &r, wait), KeyID: r.KeyID}
	if r.KeyID == key.ID {
		reply.Key = key.Text
	}
	c.Response().Header().Set("Cache-Control", "no-store")
	return c.JSON(http.StatusCreated, reply)
}

func readGrantRequest(c *echo.Context) (grantRequest, error) {
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

// key returns the id and hash supplied by the operator, or a new key if there are
// none.
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
	return c.JSON(http.StatusOK, h.awaitInForce(c.Request().Context(), &r, wait))
}

// listKeys lists the valid keys of a team or of all teams.
func (h *handlers) listKeys(c *echo.Context, _ string) error {
	v := h.service.View()
	team := c.Param(paramTeam)
	if _, ok := v.Index().Team(team); team != "" && !ok {
		return api.NewProblem(http.StatusNotFound, api.CodeNotFound, api.RunNot, "there is no such team")
	}
	list := keyListReply{Version: v.Version(), Keys: []keyInfo{}}
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
