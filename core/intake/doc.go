// Package intake decides how much of a process strangers may hold: clients that the operators don't
// control, on any port. Each port has a Gate with two bounds.
//
//   - Connections: sockets, with the goroutines, buffers and unread bytes of each (ConnectionBytes).
//   - Bytes: of bodies, of headers beyond the usual size and of messages, reserved before they are
//     read, at a price that covers what is made of them until their answer is sent.
//
// From seven eighths of the connections on, each newcomer makes one connection give way; at the bound
// it is refused. When the bytes don't suffice, bodies give way until they do; the newcomer waits for
// them briefly and is refused then. The last eighth of the bytes is for small bodies.
//
// What gives way is unfinished and older than GracePeriod: first what has made the least progress for
// its age, of equals the newest, then connections without a request, the longest idle first. A whole
// request is never abandoned. While several addresses hold something, an address with more than its
// equal part gives way to those with less, and only to itself otherwise.
//
// A Gate opens no sockets and reads no clock. It is not safe for concurrent use.
package intake
