"""HTTP over h11 and messages over zmq."""
