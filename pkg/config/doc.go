// Package config defines the settings of a node and the declaration that
// operators submit, with their defaults and validation. Both are written as JSON
// with comments and camelCase field names.
package config
