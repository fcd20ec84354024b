"""``gradepoint-data-host``: stores jobs on disk while the key-value service is unavailable."""

from __future__ import annotations

from .process import prepare_process, report_end


def run() -> None:
    """Run the console entry point."""
    prepare_process()
    with report_end("data-host"):
        from .data_host_program import run_data_host
        from .runner import run_command

    run_command("data-host", run_data_host)


if __name__ == "__main__":
    run()
