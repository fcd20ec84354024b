"""Gradepoint: a serving system for online and batch language-model inference."""

from __future__ import annotations

__version__ = "0.1.0"
