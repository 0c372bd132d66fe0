// Package consensus is part of magnoliastand.
package consensus
