"""Pure decisions: choice of target, limits, retries and batch windows."""
