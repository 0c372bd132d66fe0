// Package burn is part of magnoliastand.
package burn
