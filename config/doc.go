// Package config holds the operators' configuration: organisations with their
// guaranteed shapes, job classes and policy weights.
//
// The configuration is versioned. A Patch names the version that it was written
// against and lists changes; applying it to that version yields the next one.
// Config.Apply is pure, so every host computes the same verdict.
package config
