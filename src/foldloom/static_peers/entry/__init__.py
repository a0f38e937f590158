# SPDX-License-Identifier: MIT
"""The entry role: HTTP for callers and operators, and the execution of jobs."""
