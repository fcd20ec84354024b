"""``gradepoint-data-host``: keeps a data host of the platform occupied.

Nothing that must last is on the platform's disks: jobs, items and results are in its
metadata store. The gateways answer orders to empty a data host.
"""

from __future__ import annotations

import signal


def run() -> None:
    """Wait for the stop signal; a signal to read settings anew changes nothing."""
    signal.signal(signal.SIGHUP, lambda *_: None)
    signal.sigwait({signal.SIGTERM, signal.SIGINT})


if __name__ == "__main__":
    run()
