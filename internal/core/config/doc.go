// Package config holds the configuration that operators publish: workspace
// templates, API keys and failure domains taken out of service.
//
// The configuration is a pure function of the records of one log stream, so every
// process that has read the same records has the same state. The revision of a
// record is its offset plus one. Concurrency control is optimistic: each record
// names its base revision, the newest one that its author had read, and of two
// changes to one object with the same base revision the first in log order is
// applied and the other is lost. A Fold is not safe for concurrent use; its
// snapshots are immutable.
package config

// Stream is the name of the log stream that holds the configuration.
const Stream = "config"

// Version is the newest record version that this package reads and the one it
// writes. Records of a newer version are skipped and counted.
const Version = 1
