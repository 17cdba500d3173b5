// Package relayer proxies one caller request to an upstream. It checks the
// route and the API key, selects an upstream, sends the request, retries it or
// resumes its stream where that is allowed, and forwards the response.
package relayer
