// Package placement is part of magnoliastand.
package placement
