// Package emulator is what the app server meets in tests and in `thistlequay try`: an interpreter whose cores are
// shared by its runs, an index, a directory, routers with the load that they send, and plug-ins that do harm. All
// speak the published protocols and behave as a script tells them. Nothing here takes a decision for the app server.
package emulator
