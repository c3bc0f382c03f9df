// Package assembler wires up an entry instance that relays opaque HTTP requests
// and stores nothing: state that needs agreement or durability goes through the
// log of the platform on which the instance is deployed. Package entry wires up
// the instances that serve this project's own caller API instead.
//
// A Deployment holds everything that differs between platforms, converted to
// the types of this project.
package assembler
