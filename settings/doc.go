// Package settings reads and checks the settings of a limpetrelay process.
//
// Settings are TOML. They are checked as a whole: every fault is listed at
// once, each with the file, the key and a remedy.
package settings
