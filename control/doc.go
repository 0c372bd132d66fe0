// Package control is part of magnoliastand.
package control
