// Package fpprefix computes the keys under which shared prompt prefixes are
// recognised: a hash chain over blocks, seeded with everything that makes a
// cached entry unusable for another request.
package fpprefix
