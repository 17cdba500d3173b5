// Command tool2 runs the scripted cases of the second review. Each starts entry nodes as
// separate processes, as the deploy file does, with stand-ins of the platform's store, of
// servers and of requesters in its own process, and checks one rule by what these see.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
package main
