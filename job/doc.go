// Package job describes jobs as callers submit them and the closed set of
// outcomes that callers are told.
//
// A Spec says what to run and on what shape. Validate refuses malformed specs
// before anything is done. An Outcome is completed, failed, notRun or unknown;
// notRun is only ever said on the word of an arbiter (the log or the worker
// that was asked to run the job).
package job
