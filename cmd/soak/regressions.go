package main

// regressions returns the seeds that failed before, each with the cause of the
// failure.
func regressions() []uint64 {
	return []uint64{
		9,   // a graceful shutdown cut off responses that began more than 3 s after SIGTERM (platform/ingress)
		119, // the soak's own proxy lost bytes within a connection and forwarded later ones (internal/soak/proxier)
		69,  // a graceful shutdown closed a connection as idle although its request had been read (internal/closer)
		2,   // requests with a part of the prompt that crashes engines kept reaching them, and sound ones didn't start (internal/relayer)
		8,   // the same with streams that can't be resumed
		20,  // one request that crashes engines kept reaching them, sent again and again (internal/relayer)
		28,  // the same with upstreams of a plain service
		12,  // a registration that was executed late removed its node from the directories (internal/registrar)
		23,  // a node that started without the store never read it in full (internal/observer)
	}
}
