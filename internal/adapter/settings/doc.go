// Package settings reads the TOML files of every program. Reading is strict:
// unknown keys, wrong types, wrong units and contradictions are all reported
// together as a findings.List, each with file, line and key.
package settings
