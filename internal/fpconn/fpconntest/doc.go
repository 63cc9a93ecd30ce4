// Package fpconntest holds servers whose answers no client may take for answers, for the tests of all clients.
package fpconntest
