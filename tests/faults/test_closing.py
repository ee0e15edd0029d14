"""No client is reset while listeners close under load. For longer runs use `python -m bench.closing`."""

from __future__ import annotations

import pytest

from tests.faults.closing import play


# Guards against clients that are reset after their connect, with or without a successor on the same port.
@pytest.mark.parametrize("shares_port", [False, True], ids=["alone", "beside-a-successor"])
def test_no_client_is_reset_as_listeners_close(shares_port: bool) -> None:
    counts = play(60, shares_port)
    assert counts.reset == 0 and counts.answered > 1000, counts
    assert not (shares_port and counts.refused), counts
