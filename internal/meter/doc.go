// Package meter records the metrics of a node and serves them to Prometheus. There
// are histograms for each workspace and class; the number of label values is
// bounded.
package meter
