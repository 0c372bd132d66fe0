// Package fleet is part of magnoliastand.
package fleet
