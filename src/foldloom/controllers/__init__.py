# SPDX-License-Identifier: MIT
"""Controllers: the replicated log of the confirmed configuration."""
