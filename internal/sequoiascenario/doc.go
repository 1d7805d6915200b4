// Package sequoiascenario holds no code of the product. Its tests run whole deployments with separate processes on
// loopback, make them fail as scripts in testdata say, and judge the invariants by the records of the run.
package sequoiascenario
