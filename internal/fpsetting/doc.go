// Package fpsetting reads a daemon's settings from an INI file. It reports all errors of the file
// at once, each with its file, line and key, and an unknown key with the most similar known one.
package fpsetting
