// Package config holds every type of the settings of a node and of the
// declaration that operators submit, with their defaults and checks. Both are
// JSON with comments and camelCase names.
package config
