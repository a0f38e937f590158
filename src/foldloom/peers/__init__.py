# SPDX-License-Identifier: MIT
"""Messages between boxes and who is live."""
