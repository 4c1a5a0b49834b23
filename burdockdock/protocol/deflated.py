"""Values that are carried deflated."""

import zlib


def deflate(data: bytes) -> bytes:
    """Return bytes deflated; the same bytes always give the same result."""
    return zlib.compress(data)


def inflate(data: bytes, *, most_bytes: int) -> bytes:
    """Return the bytes that were deflated.

    :param most_bytes: the longest result that is allowed.
    :raises ValueError: if the bytes are none, are cut short, or lead to more.
    """
    inflater = zlib.decompressobj()
    try:
        inflated = inflater.decompress(data, most_bytes)
    except zlib.error as error:
        raise ValueError(str(error)) from None
    if not inflater.eof:
        raise ValueError("a deflated value is cut short or too long")
    return inflated
