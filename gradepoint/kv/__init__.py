"""Key-value service: the port, its etcd client, and how uncertain writes are settled."""
