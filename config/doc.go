// Package config holds the operators' configuration: organisations with their
// guaranteed shapes, job classes and policy weights.
//
// The configuration is numbered. A Patch names the number that it was written
// against and lists changes; applying it to the configuration with that number
// yields the next one. Apply is pure, so every host computes the same verdict.
package config
