package main

// regressions returns the seeds that have failed before, each with its cause.
func regressions() []uint64 {
	return []uint64{
		9,   // a stop cut answers that had begun later than 3 s after its signal (platform/ingress)
		119, // a link of the soak itself lost bytes within a connection, and passed on later ones (internal/soak/proxier)
		69,  // a stop closed a connection as idle whose request had been read (internal/closer)
	}
}
