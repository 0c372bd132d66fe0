// Package peerlink is part of magnoliastand.
package peerlink
