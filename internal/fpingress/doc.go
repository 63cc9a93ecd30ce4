// Package fpingress keeps clients that don't behave from using up a host's memory and connections. A guard counts what the
// connections of all its listeners hold against one budget: open connections, heads by their lines, bodies by their
// declared or received length, and requests that were sent ahead. What exceeds a limit or finds no room is refused before the
// request is handled, and the clients that stall lose their connections first.
package fpingress
