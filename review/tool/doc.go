// Command tool runs the cases of the review. Each case starts entry nodes as processes of
// their own, with stand-ins of the platform's store, of engines and of requesters.
package main
