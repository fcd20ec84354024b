"""Host membership, configuration distribution and control of targets."""
