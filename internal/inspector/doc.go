// Package inspector checks configuration files of both forms, declarations and the platform's
// documents, and tells them apart.
package inspector
