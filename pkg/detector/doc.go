// Package detector finds out what makes requests crash upstreams, when requests that
// crash them are never alike: a part of their prompts, or a whole request that comes
// again.
//
// A request has features: a hash of each part that it may share, and some of the whole
// request, with and without what may not matter. When an upstream crashes, the features of
// all runs lost there are suspects. A suspect is cleared as soon as a run with it succeeds. A suspect that has been lost
// with several upstreams, also by runs sent after the first of these crashes, and that
// nothing has cleared meanwhile, is poison. Nodes exchange what they see as Evidence.
package detector
