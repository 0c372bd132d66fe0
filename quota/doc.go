// Package quota is part of magnoliastand.
package quota
