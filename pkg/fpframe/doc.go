// Package fpframe follows the framing of HTTP/1.1 messages as their bytes pass: where a head ends, how long its
// body is and where the next message begins. It copies no message and keeps no more than a part of one line.
package fpframe
