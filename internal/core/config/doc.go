// Package config holds the configuration that operators publish: workspace
// templates, keys and failure domains that are out of service.
//
// The configuration is a pure fold over the records of one log stream, the
// same in every process. The revision of a record is its offset plus one.
// Each record names the revision that its author had read; of two changes to
// one object that name the same revision, the first in log order stands and
// the other is lost. A Fold is not safe for concurrent use; its snapshots are
// immutable.
package config

// Stream is the log stream of the configuration.
const Stream = "config"

// Version is the newest record version that this package reads and the one it
// writes. Records of a newer version are skipped and counted.
const Version = 1
