"""An edge router before caches of large objects: FastCGI in, RESP to the caches."""

__version__ = "0.1.0"
