"""Requests one segment of an object from an edge router, as a web server would.

python examples/send_request.py 127.0.0.1:6565 item-image 7f3a9c21e0b4d655
"""

from __future__ import annotations

import secrets
import sys

from edge_router.fault_injection.fastcgi_client import FastCgiClient


def main(address: str, class_name: str, object_id: str, segment: str = "0") -> int:
    """Prints the headers of the response and the size of its body; returns 0 if the status is 200, else 1."""
    host, _, port = address.rpartition(":")
    client = FastCgiClient(int(port), host)
    response = client.request_object(class_name, object_id.zfill(16), secrets.token_hex(8), segment)
    client.close()
    for name, value in response.headers.items():
        print(f"{name}: {value}")
    print(f"{len(response.body)} bytes")
    return 0 if response.status == 200 else 1


if __name__ == "__main__":
    if len(sys.argv) not in (4, 5):
        sys.exit("usage: send_request.py ADDRESS CLASS OBJECT [SEGMENT]")
    sys.exit(main(*sys.argv[1:]))
