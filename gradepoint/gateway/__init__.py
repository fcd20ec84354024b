"""The gateway: callers' requests, routed to the targets of plain and model services."""
