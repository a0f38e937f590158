# SPDX-License-Identifier: MIT
"""The entry role: callers' HTTP, jobs, operators' HTTP."""
