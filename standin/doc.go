// Package standin is part of magnoliastand.
package standin
