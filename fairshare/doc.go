// Package fairshare is part of magnoliastand.
package fairshare
