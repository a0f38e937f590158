# SPDX-License-Identifier: MIT
"""foldloom: a dispatcher for sub-second tasks on small fleets of mixed endpoints."""

from foldloom.exceptions import CommandError, FoldloomError, SettingsError
from foldloom.settings import Settings
from foldloom.settings_file import load_settings
from foldloom.verdicts import Problem, Run, Verdict

__all__ = [
    "CommandError",
    "FoldloomError",
    "Problem",
    "Run",
    "Settings",
    "SettingsError",
    "Verdict",
    "load_settings",
]
