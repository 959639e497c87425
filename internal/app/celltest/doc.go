// Package celltest runs complete cells in virtual time. The components of the
// nodes are real; the log and the workers are fakes that follow the platform's
// rules. A checker verifies the starts that the workers receive.
package celltest
