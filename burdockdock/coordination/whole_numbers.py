"""Parser of the whole numbers that others write as text."""

# More digits than any number that is used; int() refuses texts of thousands of digits.
_MAX_DIGITS = 20


def parse_whole_number(text: str | None, default: int) -> int:
    """Return the number that a text of decimal digits states.

    :returns: the default if the text isn't one, or is too long.
    """
    if text is None or not (text.isascii() and text.isdecimal()):
        return default
    digits = text.lstrip("0") or "0"
    return int(digits) if len(digits) <= _MAX_DIGITS else default
