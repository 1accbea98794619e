// Package settings reads and checks the settings of a limpetrelay process. They
// are local to the process, unlike the operators' configuration (package config),
// which all hosts read from the log.
//
// Settings are TOML. They are checked as a whole: all problems are reported at
// once, each with the file, the key and a remedy.
package settings
