# SPDX-License-Identifier: MIT
"""Jobs of steps: checked, run and answered."""
