// Package packer encodes and decodes messages between nodes, which are arrays by the order
// of their fields. It reads messages of other releases: fields that a message lacks are
// left at zero, and fields that this release doesn't know are skipped. New fields are
// therefore added at the end of a type.
package packer
