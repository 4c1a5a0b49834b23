"""Settings of a node: reading and validation of its INI file."""

import configparser
import ipaddress
import re
from pathlib import Path
from typing import NamedTuple

from burdockdock.configuration.model import Problem
from burdockdock.coordination.quota import QuotaBounds
from burdockdock.overlay.datagrams import Address
from burdockdock.proxy.listener import DEFAULT_MAX_PIPELINED_CALLS

_ALLOWED_KEYS = {
    "node": {"name", "mesh", "region", "availability_zone"},
    "listen": {"callers", "peers", "operators", "announcements", "readiness"},
    "platform": {"url", "form"},
    "peers": {"seeds"},
    "backend_server": {"service", "address", "announce_interval"},
    "limits": {
        "config_apply",
        "cold_overage",
        "cold_slack",
        "drain_timeout_s",
        "evacuation",
        "grace_period",
        "max_fds",
        "memory_mb",
        "pipelined_calls",
        "quota_overage",
        "quota_slack",
        "quota_window",
        "retry_share",
        "retry_reserve",
        "zone_cost",
    },
    "operators": {"notify_url"},
}
PLATFORM_FORMS = ("own", "objects")
_DURATION = re.compile(r"(\d+(?:\.\d+)?)(ms|s)")
DEFAULT_CONFIG_APPLY_TIMEOUT_S = 2.5
DEFAULT_RETRY_SHARE = 0.2
DEFAULT_RETRY_RESERVE = 100.0
# Above what any VM of an ordinary deployment has.
DEFAULT_MEMORY_MB = 4096.0
DEFAULT_MAX_FDS = 65_536
DEFAULT_QUOTA_BOUNDS = QuotaBounds()
_NO_ADDRESS: Address = ("", 0)
_REQUIRED_KEYS = {
    "node": ("name", "mesh", "region", "availability_zone"),
    "listen": ("callers", "peers", "operators"),
    "platform": ("url",),
}


class NodeSettings(NamedTuple):
    """Settings of one node.

    :param name: node id, unique in the mesh.
    :param callers: address of the HTTP server for callers.
    :param peers: address for other nodes, TCP and UDP.
    :param operators: address of the HTTP server for operators and the backend server.
    :param seeds: peers to contact if the platform does not answer at startup.
    :param drain_timeout_s: longest time a shutdown waits for calls in flight.
    :param notify_url: URL that gets notices of ended rollouts and of configuration
        versions that are in force everywhere or overdue, empty for none.
    :param platform_form: protocol of the platform, callers and backend servers, one of
        ``PLATFORM_FORMS``.
    :param announcements: separate address for backend server announcements, port 0 for
        none.
    :param readiness: address of the readiness check, port 0 for none.
    :param backend_service: service of this node's backend server, empty to accept
        announcements of any service.
    :param backend_address: address of the backend server.
    :param announce_interval_s: seconds between the announcements of the backend server,
        0 if unknown.
    :param config_apply_timeout_s: seconds from the acceptance of a configuration within
        which every node has to apply it.
    :param grace_period_s: seconds from the stop signal to the kill, 0 for no kill.
    :param retry_share: retries per call that the fleet may send to backend servers.
    :param retry_reserve: retries per service that the fleet may send beyond that share.
    :param evacuation_s: seconds within which an availability zone has to be evacuated,
        0 if the deployment evacuates none.
    :param cold_overage: how many times its own rate a cold backend server withstands
        within a second, 0 if the deployment says nothing about it.
    :param cold_slack: requests that it withstands beyond that.
    :param pipelined_calls: calls of one caller's connection that run concurrently.
    :param memory_mb: memory of the VM.
    :param max_fds: file descriptors that this process may open.
    :param quota_bounds: how far a workspace may exceed its quota over the whole fleet;
        ``quota_slack`` is a number of requests.
    :param zone_cost: cost of a zone crossing in seconds per KB: the expected time that
        a call must gain for each KB that crosses, 0 for none.
    """

    name: str
    mesh: str
    region: str
    availability_zone: str
    callers: Address
    peers: Address
    operators: Address
    platform_url: str
    seeds: tuple[Address, ...] = ()
    drain_timeout_s: float = 60.0
    notify_url: str = ""
    platform_form: str = "own"
    announcements: Address = _NO_ADDRESS
    readiness: Address = _NO_ADDRESS
    backend_service: str = ""
    backend_address: Address = _NO_ADDRESS
    announce_interval_s: float = 0.0
    config_apply_timeout_s: float = DEFAULT_CONFIG_APPLY_TIMEOUT_S
    grace_period_s: float = 0.0
    retry_share: float = DEFAULT_RETRY_SHARE
    retry_reserve: float = DEFAULT_RETRY_RESERVE
    pipelined_calls: int = DEFAULT_MAX_PIPELINED_CALLS
    memory_mb: float = DEFAULT_MEMORY_MB
    max_fds: int = DEFAULT_MAX_FDS
    quota_bounds: QuotaBounds = DEFAULT_QUOTA_BOUNDS
    zone_cost: float = 0.0
    evacuation_s: float = 0.0
    cold_overage: float = 0.0
    cold_slack: float = 0.0


def read_settings(path: Path) -> NodeSettings | list[Problem]:
    """Read a settings file.

    :returns: the settings, or all problems found.
    """
    try:
        text = path.read_text()
    except (OSError, UnicodeDecodeError) as error:
        return [Problem("", "", str(error))]
    return parse_settings(text)


def parse_settings(text: str) -> NodeSettings | list[Problem]:
    """Parse and validate the text of a settings file.

    :returns: the settings, or all problems found.
    """
    parser = configparser.ConfigParser(
        interpolation=None, default_section="\0none", inline_comment_prefixes=("#",)
    )
    try:
        parser.read_string(text)
    except configparser.Error as error:
        return [Problem("", "", " ".join(str(error).split()))]
    reader = _ValueReader(parser)
    reader.check_keys()
    settings = NodeSettings(
        name=reader.text("node", "name"),
        mesh=reader.text("node", "mesh"),
        region=reader.text("node", "region"),
        availability_zone=reader.text("node", "availability_zone"),
        callers=reader.address("listen", "callers"),
        peers=reader.address("listen", "peers"),
        operators=reader.address("listen", "operators"),
        platform_url=reader.url("platform", "url"),
        seeds=reader.addresses("peers", "seeds"),
        drain_timeout_s=reader.number("limits", "drain_timeout_s", 60.0, 0, 86_400),
        notify_url=reader.url("operators", "notify_url"),
        platform_form=reader.choice("platform", "form", PLATFORM_FORMS),
        announcements=reader.address("listen", "announcements"),
        readiness=reader.address("listen", "readiness"),
        backend_service=reader.text("backend_server", "service"),
        backend_address=reader.address("backend_server", "address"),
        announce_interval_s=reader.duration_s("backend_server", "announce_interval"),
        config_apply_timeout_s=(
            reader.duration_s("limits", "config_apply")
            or DEFAULT_CONFIG_APPLY_TIMEOUT_S
        ),
        grace_period_s=reader.duration_s("limits", "grace_period"),
        retry_share=reader.number("limits", "retry_share", DEFAULT_RETRY_SHARE, 0, 1),
        retry_reserve=reader.number(
            "limits", "retry_reserve", DEFAULT_RETRY_RESERVE, 0, 1_000_000
        ),
        pipelined_calls=reader.integer(
            "limits", "pipelined_calls", DEFAULT_MAX_PIPELINED_CALLS, 1, 1000
        ),
        memory_mb=reader.number(
            "limits", "memory_mb", DEFAULT_MEMORY_MB, 1, 100_000_000
        ),
        max_fds=reader.integer("limits", "max_fds", DEFAULT_MAX_FDS, 32, 100_000_000),
        quota_bounds=_read_quota_bounds(reader),
        zone_cost=reader.number("limits", "zone_cost", 0.0, 0, 3600),
        evacuation_s=reader.positive_duration_s("limits", "evacuation"),
        cold_overage=reader.number("limits", "cold_overage", 0.0, 1, 1000),
        cold_slack=reader.number("limits", "cold_slack", 0.0, 0, 1_000_000),
    )
    return reader.problems or settings


def _read_quota_bounds(reader: "_ValueReader") -> QuotaBounds:
    """Read how far quotas may be exceeded; an empty value is as good as none."""
    default = DEFAULT_QUOTA_BOUNDS
    return QuotaBounds(
        window_s=(
            reader.positive_duration_s("limits", "quota_window") or default.window_s
        ),
        overage=reader.number("limits", "quota_overage", default.overage, 0, 1),
        slack=reader.number("limits", "quota_slack", default.slack, 0, 1_000_000),
    )


class _ValueReader:
    """Reads values of the settings file and collects the problems found."""

    def __init__(self, parser: configparser.ConfigParser) -> None:
        self._parser = parser
        self.problems: list[Problem] = []

    def check_keys(self) -> None:
        """Report unknown sections and keys, and missing required keys."""
        for section in self._parser.sections():
            if section not in _ALLOWED_KEYS:
                self._add_problem(section, "", "unknown section")
                continue
            for key in self._parser[section]:
                if key not in _ALLOWED_KEYS[section]:
                    self._add_problem(section, key, "unknown key")
        for section, keys in _REQUIRED_KEYS.items():
            for key in keys:
                if not self.text(section, key):
                    self._add_problem(section, key, "missing")

    def text(self, section: str, key: str) -> str:
        """Return a value, empty if absent."""
        return self._parser.get(section, key, fallback="").strip()

    def address(self, section: str, key: str) -> Address:
        """Return an address from IP:PORT, with port 0 if absent or invalid."""
        text = self.text(section, key)
        if not text:
            return "", 0
        return self._parse_address(section, key, text)

    def addresses(self, section: str, key: str) -> tuple[Address, ...]:
        """Return the addresses of a comma-separated list."""
        texts = [part.strip() for part in self.text(section, key).split(",")]
        return tuple(self._parse_address(section, key, text) for text in texts if text)

    def url(self, section: str, key: str) -> str:
        """Return an HTTP URL, empty if absent."""
        text = self.text(section, key)
        if text and not text.startswith(("http://", "https://")):
            self._add_problem(section, key, f"give an http address, not {text!r}")
        return text

    def number(
        self, section: str, key: str, default: float, minimum: float, maximum: float
    ) -> float:
        """Return a number, or the default if it is absent or out of bounds."""
        text = self.text(section, key)
        if not text:
            return default
        try:
            value = float(text)
        except ValueError:
            value = float("nan")
        if not minimum <= value <= maximum:
            self._add_problem(
                section,
                key,
                f"give a plain number from {minimum} to {maximum} without its unit, "
                f"not {text!r}",
            )
            return default
        return value

    def integer(
        self, section: str, key: str, default: int, minimum: int, maximum: int
    ) -> int:
        """Return a whole number, or the default if it is absent or not valid."""
        value = self.number(section, key, default, minimum, maximum)
        if value != int(value):
            self._add_problem(section, key, f"give a whole number, not {value:g}")
            return default
        return int(value)

    def choice(self, section: str, key: str, allowed: tuple[str, ...]) -> str:
        """Return one of the allowed values, the first if absent."""
        text = self.text(section, key) or allowed[0]
        if text not in allowed:
            self._add_problem(section, key, f"give one of {', '.join(allowed)}")
        return text

    def duration_s(self, section: str, key: str) -> float:
        """Return a duration such as ``1500ms`` or ``6s`` in seconds, 0 if absent."""
        text = self.text(section, key)
        if not text:
            return 0.0
        match = _DURATION.fullmatch(text)
        if match is None:
            self._add_problem(
                section, key, f"give a time such as 1500ms or 6s, not {text!r}"
            )
            return 0.0
        return float(match[1]) / (1000 if match[2] == "ms" else 1)

    def positive_duration_s(self, section: str, key: str) -> float:
        """Return a duration in seconds, 0 if absent; report one that is zero."""
        duration_s = self.duration_s(section, key)
        if not duration_s and _DURATION.fullmatch(self.text(section, key)):
            self._add_problem(section, key, "give a time above 0, or leave it empty")
        return duration_s

    def _parse_address(self, section: str, key: str, text: str) -> Address:
        host, _, port = text.rpartition(":")
        try:
            ipaddress.ip_address(host.strip("[]"))
            number = int(port)
        except ValueError:
            number = 0
        if not 0 < number < 65536:
            self._add_problem(section, key, f"give IP:PORT, not {text!r}")
            return "", 0
        return host.strip("[]"), number

    def _add_problem(self, section: str, key: str, message: str) -> None:
        self.problems.append(Problem(section, key, message))
