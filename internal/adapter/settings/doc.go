// Package settings reads the TOML settings of all programs and the files of
// workspace templates. Reading is strict: unknown keys, wrong types, wrong units
// and contradictions are reported together as a findings.List, each with file,
// line and key.
package settings
