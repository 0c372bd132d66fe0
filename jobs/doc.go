// Package jobs is part of magnoliastand.
package jobs
