"""An edge router in front of caches of large objects: FastCGI to clients, RESP to the caches."""

__version__ = "0.1.0"
