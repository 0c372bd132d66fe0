// Package planner is part of magnoliastand.
package planner
