// Package httpapi serves jobs over HTTP: workers register, renew their leases
// and fetch commands; submitters submit, read and cancel jobs. Errors are
// problem documents (api.Problem).
package httpapi
