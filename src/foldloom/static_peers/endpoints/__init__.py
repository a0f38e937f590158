# SPDX-License-Identifier: MIT
"""Calls to endpoints, and the platform's list of leaving endpoints."""
