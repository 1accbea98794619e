// Package job defines jobs as callers submit them and the closed set of outcomes
// that are reported to callers.
//
// A Spec states what to run and on which shape. Spec.Validate rejects malformed
// specs before anything is done. An Outcome is completed, failed, notRun or
// unknown. notRun is only reported on the authority of the log or of the worker
// that was to run the job.
package job
