"""Fixtures shared by all tests."""

from __future__ import annotations

from gradepoint.telemetry import logs

logs.configure("tests", "tests", level="ERROR")
