// Package emulator emulates the services around the app server for tests and for `thistlequay try`: an interpreter
// whose cores are shared by its runs, an index, a directory, routers with the load that they send, and faulty plug-ins.
// All speak the published protocols, and scripts set how they answer. The package takes no decision for the app server.
package emulator
