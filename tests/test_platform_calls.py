# SPDX-License-Identifier: MIT
"""Outcomes of calls to endpoints that failed without a response.

Guards against a task that is bound to a crashed endpoint by an order that waits nowhere.
"""

from __future__ import annotations

import errno
import os

import pytest

from endpoint_calls import outcome_of
from foldloom.exceptions import ConnectFailedError, MalformedResponseError
from foldloom.seed_discovery.endpoints.calls import CallOutcome

_RESET = (errno.ECONNRESET, os.strerror(errno.ECONNRESET))


class TestOutcome:
    """What is known of the call."""

    @pytest.mark.parametrize(
        "error",
        [
            ConnectionResetError(*_RESET),
            ConnectionResetError("the peer ended the connection"),
            BrokenPipeError(errno.EPIPE, os.strerror(errno.EPIPE)),
            OSError(*_RESET),
        ],
    )
    def test_ended_connection(self, error: Exception) -> None:
        """The connection ended, with or without the number of the system's error."""
        assert outcome_of(error) is CallOutcome.DISCONNECTED

    @pytest.mark.parametrize("number", [errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ENETUNREACH])
    def test_network_failure(self, number: int) -> None:
        """The endpoint has not ended the connection, and may have received the call."""
        error = OSError(number, os.strerror(number))
        assert outcome_of(error) is CallOutcome.UNKNOWN

    @pytest.mark.parametrize(
        "error",
        [
            TimeoutError(),
            TimeoutError(errno.ETIMEDOUT, os.strerror(errno.ETIMEDOUT)),
            ConnectFailedError(errno.ECONNRESET, "reset"),
            ConnectFailedError(None, "no address"),
            MalformedResponseError("the connection ended within the response"),
            ValueError("a header contains a control character"),
        ],
    )
    def test_unknown(self, error: Exception) -> None:
        """The call may still be executed, whoever then has the endpoint's id."""
        assert outcome_of(error) is CallOutcome.UNKNOWN

    def test_no_listener(self) -> None:
        """The connection was refused: nothing listens at the address."""
        error = ConnectFailedError(errno.ECONNREFUSED, os.strerror(errno.ECONNREFUSED))
        assert outcome_of(error) is CallOutcome.NO_LISTENER
