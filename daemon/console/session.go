package console

import (
	"crypto/rand"
	"crypto/subtle"
	"net/http"
	"sync"
	"time"

	"github.com/labstack/echo/v5"

	"magnoliastand.example/clock"
	"magnoliastand.example/control"
)

const (
	cookieName  = "magnoliastand-session"
	sessionKey  = "session"
	fieldCSRF   = "csrf"
	sessionLife = 8 * time.Hour
	// maxSessions bounds the sessions of one daemon.
	maxSessions = 256
	// maxFormBytes bounds the body of a form.
	maxFormBytes = 2 << 20
)

// session is one operator's stay, kept in this daemon's memory only.
type session struct {
	operator string
	csrf     string
	expires  time.Time
}

// sessions is safe for concurrent use.
type sessions struct {
	mu  sync.Mutex
	all map[string]*session
}

func newSessions() *sessions { return &sessions{all: make(map[string]*session)} }

// start begins a session and returns its token; "" when there are too many.
func (s *sessions) start(now time.Time, operator string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	for token, old := range s.all {
		if now.After(old.expires) {
			delete(s.all, token)
		}
	}
	if len(s.all) >= maxSessions {
		return ""
	}
	token := rand.Text()
	s.all[token] = &session{operator: operator, csrf: rand.Text(), expires: now.Add(sessionLife)}
	return token
}

func (s *sessions) find(now time.Time, token string) *session {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := s.all[token]
	if found == nil || now.After(found.expires) {
		return nil
	}
	return found
}

func (s *sessions) end(token string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.all, token)
}

// requireSession sends operators without a session to the login, and refuses
// forms without the session's CSRF token.
func (c *console) requireSession(next echo.HandlerFunc) echo.HandlerFunc {
	return func(ec *echo.Context) error {
		cookie, err := ec.Cookie(cookieName)
		if err != nil {
			return ec.Redirect(http.StatusSeeOther, "/console/login")
		}
		s := c.sessions.find(clock.Now(), cookie.Value)
		if s == nil {
			return ec.Redirect(http.StatusSeeOther, "/console/login")
		}
		ec.Set(sessionKey, s)
		if ec.Request().Method == http.MethodPost {
			ec.Request().Body = http.MaxBytesReader(ec.Response(), ec.Request().Body, maxFormBytes)
			if subtle.ConstantTimeCompare([]byte(ec.FormValue(fieldCSRF)), []byte(s.csrf)) != 1 {
				return c.render(ec, http.StatusForbidden, "message", page{Title: "Refused", Notice: "the form is not of this session; go back and load it again", Fault: true})
			}
		}
		return next(ec)
	}
}

func (c *console) showLogin(ec *echo.Context) error {
	return c.render(ec, http.StatusOK, "login", page{Title: "Log in"})
}

func (c *console) login(ec *echo.Context) error {
	ec.Request().Body = http.MaxBytesReader(ec.Response(), ec.Request().Body, maxFormBytes)
	hash := control.HashKey(ec.FormValue("key"))
	name := ""
	for _, o := range c.operators {
		if o.Hash.Equal(hash) {
			name = o.Name
		}
	}
	token := ""
	if name != "" {
		token = c.sessions.start(clock.Now(), name)
	}
	if token == "" {
		return c.render(ec, http.StatusUnauthorized, "login", page{Title: "Log in", Notice: "this is not a valid operator key, or too many operators are logged in", Fault: true})
	}
	ec.SetCookie(&http.Cookie{
		Name: cookieName, Value: token, Path: "/console", HttpOnly: true,
		SameSite: http.SameSiteStrictMode, MaxAge: int(sessionLife.Seconds()), Secure: ec.Request().TLS != nil,
	})
	return ec.Redirect(http.StatusSeeOther, "/console")
}

func (c *console) logout(ec *echo.Context) error {
	if cookie, err := ec.Cookie(cookieName); err == nil {
		c.sessions.end(cookie.Value)
	}
	return ec.Redirect(http.StatusSeeOther, "/console/login")
}
