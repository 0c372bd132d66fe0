// Package standin provides stand-ins for what surrounds magnoliastand:
// endpoints that run requests and can be told to misbehave, callers that
// generate load, and a ledger that checks what callers were told against what
// endpoints ran. Tests, "serve --dev" and load runs use it.
package standin
