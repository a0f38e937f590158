# SPDX-License-Identifier: MIT
"""Controllers: the confirmed configuration."""
