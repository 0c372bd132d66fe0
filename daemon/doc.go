// Package daemon is part of magnoliastand.
package daemon
