// Package fpsetting reads a daemon's settings from an INI file, once and
// whole: every fault is listed with its file, line and key, and an unknown key
// with the nearest known one.
package fpsetting
