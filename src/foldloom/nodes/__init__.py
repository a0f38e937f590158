# SPDX-License-Identifier: MIT
"""The nodes of an open network, put together."""
