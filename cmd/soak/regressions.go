package main

// regressions returns the seeds that failed before, each with the cause of the
// failure.
func regressions() []uint64 {
	return []uint64{
		9,   // a graceful shutdown cut off responses that began more than 3 s after SIGTERM (platform/ingress)
		119, // the soak's own proxy lost bytes within a connection and forwarded later ones (internal/soak/proxier)
		69,  // a graceful shutdown closed a connection as idle although its request had been read (internal/closer)
	}
}
