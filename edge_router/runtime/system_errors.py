"""Classifies system call errors that are caused by the local machine rather than by a peer."""

from __future__ import annotations

import errno

RESOURCE_EXHAUSTED = frozenset(  # accept(2), socket(2)
    (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
)
LOCAL_NETWORK_FAILURE = frozenset(  # connect(2), where EAGAIN means that no local port or route is available
    (errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.ENETDOWN, errno.EAGAIN)
)


def is_local_failure(error: OSError) -> bool:
    """Whether the call failed for a reason on this host, so that a later attempt may succeed."""
    return error.errno in RESOURCE_EXHAUSTED or error.errno in LOCAL_NETWORK_FAILURE
