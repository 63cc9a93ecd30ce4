package main

import (
	"fmt"
	"net"
	"time"
)

func init() { scenarios["porttaken"] = portTaken }

func portTaken(e *environment) bool {
	s := newStore()
	s.put("op/config", configuration(1, route("call", "non_idempotent", "old", 3000, 1, false, false)))
	e.hosts = newHosts(e.dir, s, "delta-a")
	h := e.hosts[0]
	l, err := net.Listen("tcp", h.ready)
	check(err)
	h.start()
	time.Sleep(2 * time.Second)
	_ = l.Close()
	ended := false
	select {
	case <-h.exited:
		ended = true
	case <-time.After(20 * time.Second):
	}
	c, err := net.DialTimeout("tcp", h.front, time.Second)
	if err == nil {
		_ = c.Close()
	}
	fmt.Printf("ended %v; front: %v; ready %v\n", ended, err, h.isReady())
	return ended
}
