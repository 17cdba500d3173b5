// Package ratetracker tracks the rates to which upstreams limit the requests that they take from
// all nodes together. An upstream names its rate in its responses; nodes tell each other.
package ratetracker
