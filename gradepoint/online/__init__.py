"""Online inference calls: the HTTP entry point, idempotency, retries and streaming."""
