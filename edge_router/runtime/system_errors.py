"""Which errors of system calls tell of our own machine for a moment, and not of a peer."""

from __future__ import annotations

import errno

RESOURCE_EXHAUSTED = frozenset(
    (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
)  # accept(2), socket(2)
LOCAL_NETWORK_FAILURE = frozenset(
    (errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.ENETDOWN, errno.EAGAIN)
)  # connect(2)


def is_local_shortage(error: OSError) -> bool:
    """Whether the call failed for a lack on our side, so that it may succeed by and by."""
    return error.errno in RESOURCE_EXHAUSTED or error.errno in LOCAL_NETWORK_FAILURE
