package standin

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/pkg/errors"

	"magnoliastand.example/api"
)

const (
	announceTimeout = 1 * time.Second
	// announceRetry is the pause after no daemon took an announcement.
	announceRetry     = 200 * time.Millisecond
	maxReplyBytes     = 64 << 10
	incarnationLength = 6
)

func randomName() string {
	b := make([]byte, incarnationLength)
	// crypto/rand.Read never fails; it ends the process instead.
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}

// Leave announces that the endpoint takes no new work. It returns when a
// daemon acknowledged it or ctx ended. Running requests go on.
func (e *Endpoint) Leave(ctx context.Context) error {
	e.mu.Lock()
	e.state = api.EndpointLeaving
	e.mu.Unlock()
	if len(e.cfg.Daemons) == 0 {
		return nil
	}
	return errors.Wrap(e.announce(ctx), "leave")
}

// Running returns the number of requests running now.
func (e *Endpoint) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running
}

func (e *Endpoint) announceUntilClosed() {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		select {
		case <-e.done:
			cancel()
		case <-ctx.Done():
		}
	}()
	for {
		pause := e.cfg.RenewEvery
		if e.announce(ctx) != nil {
			pause = announceRetry
		}
		timer := time.NewTimer(pause)
		select {
		case <-timer.C:
		case <-e.done:
			timer.Stop()
			return
		}
	}
}

// announce sends the announcement to the first daemon that takes it.
func (e *Endpoint) announce(ctx context.Context) error {
	var last error
	for _, daemon := range e.cfg.Daemons {
		a := e.announcement()
		last = e.announceTo(ctx, daemon, a)
		if last == nil {
			e.noteAnnounced(a.State)
			return nil
		}
	}
	e.mu.Lock()
	e.stats.AnnounceFailed++
	e.mu.Unlock()
	return last
}

func (e *Endpoint) noteAnnounced(s api.EndpointState) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stats.Announced++
	if s == api.EndpointLeaving && e.leftAt.IsZero() {
		e.leftAt = time.Now()
	}
}

func (e *Endpoint) announcement() api.Announcement {
	e.mu.Lock()
	defer e.mu.Unlock()
	return api.Announcement{
		Service:     e.cfg.Service,
		Instance:    e.cfg.Instance,
		Incarnation: e.cfg.Incarnation,
		Address:     e.Address(),
		State:       e.state,
		Slots:       e.cfg.Slots,
		Running:     e.running,
	}
}

func (e *Endpoint) announceTo(ctx context.Context, daemon string, a api.Announcement) error {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	body, err := json.Marshal(a)
	if err != nil {
		return errors.Wrap(err, "encode announcement")
	}
	target := "http://" + daemon + "/v1/endpoints/" + url.PathEscape(e.cfg.ID)
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, target, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "announcement")
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := announceClient.Do(req)
	if err != nil {
		return errors.Wrapf(err, "announce to %s", daemon)
	}
	defer func() { _ = res.Body.Close() }()
	reply, err := io.ReadAll(io.LimitReader(res.Body, maxReplyBytes))
	if err != nil {
		return errors.Wrapf(err, "announce to %s", daemon)
	}
	if res.StatusCode >= http.StatusMultipleChoices {
		return errors.Errorf("announce to %s: status %d: %s", daemon, res.StatusCode, reply)
	}
	return nil
}

// announceClient keeps no connections, so that closed endpoints leave none.
var announceClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
