"""Tests of JSON texts with values that can't be decoded."""

import json

import testtools
from hypothesis import given
from hypothesis import strategies as st

from burdockdock.platform_api.json_text import parse_json

_DEPTH = 100_000
_JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(),
    lambda values: st.lists(values) | st.dictionaries(st.text(), values),
    max_leaves=20,
)


class JsonTextTest(testtools.TestCase):
    """Tests that one odd value leaves the others as they are."""

    def _assert_rest_is_kept(self, odd: bytes) -> None:
        found = parse_json(b'{"a": [1, %s, "]}"], "b": {"c": 2}}' % odd)
        self.assertEqual({"c": 2}, found["b"])
        self.assertEqual((1, "]}"), (found["a"][0], found["a"][2]))

    def test_deeply_nested_arrays(self) -> None:
        self._assert_rest_is_kept(b"[" * _DEPTH + b"]" * _DEPTH)

    def test_deeply_nested_objects(self) -> None:
        self._assert_rest_is_kept(b'{"x":' * _DEPTH + b"1" + b"}" * _DEPTH)

    def test_integer_with_too_many_digits(self) -> None:
        self._assert_rest_is_kept(b"9" * 10_000)

    def test_brackets_in_strings_do_not_count(self) -> None:
        self._assert_rest_is_kept(b"[" * _DEPTH + rb'"\"]]"' + b"]" * _DEPTH)

    def test_invalid_text_is_refused(self) -> None:
        for text in (b"", b"{", b"[1,", b"[" * _DEPTH, b"]" * _DEPTH, b"\xff"):
            self.assertRaises(ValueError, parse_json, text)

    @given(_JSON_VALUES)
    def test_ordinary_values_are_parsed_as_they_are(self, value: object) -> None:
        self.assertEqual(value, parse_json(json.dumps(value).encode()))
