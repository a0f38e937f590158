# SPDX-License-Identifier: MIT
"""Outcomes of calls to endpoints that failed without a response.

Guards against a task that is bound to a crashed endpoint by an order that waits nowhere.
"""

from __future__ import annotations

import errno
import os

import aiohttp
import pytest

from endpoint_calls import outcome_of
from foldloom.seed_discovery.endpoints.calls import CallOutcome

_RESET = (errno.ECONNRESET, os.strerror(errno.ECONNRESET))


class TestOutcome:
    """What is known of the call."""

    @pytest.mark.parametrize(
        "error",
        [
            aiohttp.ServerDisconnectedError(),
            aiohttp.ClientOSError(*_RESET),
            aiohttp.ClientOSError("Connection lost"),
            ConnectionResetError(*_RESET),
        ],
    )
    def test_ended_connection(self, error: Exception) -> None:
        """The connection ended, with or without the number of the system's error."""
        assert outcome_of(error) is CallOutcome.DISCONNECTED

    @pytest.mark.parametrize("number", [errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ENETUNREACH])
    def test_network_failure(self, number: int) -> None:
        """The endpoint has not ended the connection, and may have received the call."""
        error = aiohttp.ClientOSError(number, os.strerror(number))
        assert outcome_of(error) is CallOutcome.UNKNOWN

    @pytest.mark.parametrize("error", [TimeoutError(), aiohttp.ServerTimeoutError()])
    def test_timeout(self, error: Exception) -> None:
        """The call may still be executed, whoever then has the endpoint's id."""
        assert outcome_of(error) is CallOutcome.UNKNOWN
