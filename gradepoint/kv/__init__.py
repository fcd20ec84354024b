"""Key-value service: interface, etcd client, relaying, watching and uncertain writes."""
