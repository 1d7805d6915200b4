// Package sequoiaquarantine decides which requests are kept away from upstreams because they seem to crash them, so that
// a request that comes again and again does not end one upstream after another. It does no I/O.
//
// A request that was in progress when its upstream ended gets a strike. After the first one it is a suspect, which is
// still served, but not beside another suspect: the next end of an upstream then tells the cause from the others. After
// the second one it is quarantined. An answer clears it.
//
// Each process has a List of records. Merging records is commutative, associative and idempotent, so processes may
// exchange them in any order, more than once, and through the store.
package sequoiaquarantine
