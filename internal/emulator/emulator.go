// Package emulator emulates the services around the app server for tests and for `thistlequay try`: an interpreter
// whose runs share its cores, an index, a directory, routers and the load that they send, and faulty plug-ins. All of
// them use the published protocols, and callers can script their replies. The package makes no decisions for the app
// server.
package emulator
