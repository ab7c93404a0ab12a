// Package soak runs nodes as processes, injects seeded faults from outside the
// processes, and checks what callers, endpoints and the platform observe. All of
// its code is in tests.
package soak
