// Package assembler puts an entry instance together that relays opaque HTTP
// requests and keeps nothing: what must be agreed or last goes through the log
// of the platform that it is deployed on.
//
// A Deployment says what differs from one platform to another. Everything in it
// is in the product's own terms.
package assembler
