// Package ownerbench holds a benchmark of the cell's owner: its session, its engine and
// its HTTP client for workers, with stand-ins of the workers in a process of their own.
package ownerbench
