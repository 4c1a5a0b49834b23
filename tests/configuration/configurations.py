"""Configurations for tests: a valid one, and random ones."""

from hypothesis import strategies as st

VALID_CONFIG = """
[defaults]
timeout_ms = 1000
[service desk]
timeout_ms = 1500
[service vault]
[route all]
path = /
service = desk
[route trips]
path = /trips
service = vault
class = packets
[route trips-host]
path = /trips
host = trips.example
service = desk
[exception slow]
scope = service:vault
setting = timeout_ms
value = 9000
reason = the archive is being split
expires = 2026-06-01T00:00:00Z
"""

_NAMES = st.sampled_from(["a", "b", "c"])
SECTIONS = st.dictionaries(
    st.one_of(
        st.just("defaults"),
        _NAMES.map(lambda n: f"service {n}"),
        _NAMES.map(lambda n: f"route {n}"),
    ),
    st.fixed_dictionaries(
        {},
        optional={
            "timeout_ms": st.sampled_from(["1", "20", "x"]),
            "path": st.sampled_from(["/", "/a", "/b/"]),
            "service": _NAMES,
        },
    ),
    max_size=6,
)
