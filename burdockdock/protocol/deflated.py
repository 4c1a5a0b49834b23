"""Deflates and inflates values with zlib for transfer."""

import zlib


def deflate(data: bytes) -> bytes:
    """Deflate bytes; equal input always gives equal output."""
    return zlib.compress(data)


def inflate(data: bytes, *, max_bytes: int) -> bytes:
    """Inflate deflated bytes.

    :param max_bytes: maximum length of the result.
    :raises ValueError: if the data is invalid or truncated, or the result would be too
        long.
    """
    decompressor = zlib.decompressobj()
    try:
        inflated = decompressor.decompress(data, max_bytes)
    except zlib.error as error:
        raise ValueError(str(error)) from None
    if not decompressor.eof:
        raise ValueError("deflated value is truncated or too long")
    return inflated
