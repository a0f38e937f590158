# SPDX-License-Identifier: MIT
"""The boxes of an open network, put together."""
