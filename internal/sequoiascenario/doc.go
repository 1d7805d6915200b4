// Package sequoiascenario contains only tests. They run whole deployments as separate operating system processes on
// loopback, inject the faults listed in the testdata scripts, and check the invariants against the records of the run.
//
// The name of a script starts with the number of the invariant that it tests, or with pair if it combines two faults:
//
//	i1  no two owners of a key run requests at the same time, and none runs requests after its successor
//	i2  no acknowledged assignment is lost
//	i3  every answer is complete and belongs to its request
//	i4  a request reported as NotRun did not take effect
//	i5  a request that must not be repeated takes effect at most once
//	i6  a draining upstream starts no new work after a bound
//	i7  a planned stop does not interrupt requests in progress
//	i8  an accepted configuration reaches every process within a bound and is not overwritten by an older one
package sequoiascenario
